package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/logs"
	"apricotbridge/internal/origin"
	"apricotbridge/pkg/problem"
)

// versionBasis is what the version of a stream was concluded from.
type versionBasis string

const (
	// basisStream means that the stream itself is known.
	basisStream versionBasis = "Stream"
	// basisOnlyVersion means that the service has one version, by a record that was read since the request came.
	basisOnlyVersion versionBasis = "OnlyVersion"
	// basisRecord means that the stream is known from a record of begun streams that was read since then.
	basisRecord versionBasis = "Record"
	// basisNone means that the version is not known.
	basisNone versionBasis = "None"
)

const (
	// unknownVersionRetryAfter is the Retry-After of a stream whose version is not known here. Another daemon may
	// know it, or a peer may still send it.
	unknownVersionRetryAfter = 500 * time.Millisecond
	// versionCheckTimeout bounds the read of the records for streams that are not known. The store answers in 4 ms,
	// and is up to 12 ms away (platform specification); beyond this time another daemon answers sooner.
	versionCheckTimeout = 500 * time.Millisecond
	// versionCheckInterval, for each of the daemons, is the least time between two such reads at a daemon, and
	// minVersionCheckInterval bounds it from below. After the loss of a place all daemons may read at the same time:
	// 300 then make 2,000 reads a second.
	versionCheckInterval    = 500 * time.Microsecond
	minVersionCheckInterval = 20 * time.Millisecond
	// versionCheckRetryDelay is how long no read is tried after one that failed.
	versionCheckRetryDelay = 200 * time.Millisecond
)

// versionCheck is a read of the records that streams wait for.
type versionCheck struct {
	done chan struct{}
	// records has the records of versions, by service, and err why they could not be read. They are set before
	// done is closed.
	records map[string]origin.Record
	err     error
}

// versionChecks collects the streams that are not known here, so that one read serves all that came before it.
type versionChecks struct {
	mu sync.Mutex
	// next is the read that has not begun; nil means that nobody waits.
	next     *versionCheck
	wake     chan struct{}
	failedAt time.Time
}

// join returns the next read that begins.
func (v *versionChecks) join(now time.Time) (*versionCheck, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.failedAt) < versionCheckRetryDelay {
		return nil, errors.New("records of versions could not be read")
	}
	if v.next == nil {
		v.next = &versionCheck{done: make(chan struct{})}
		select {
		case v.wake <- struct{}{}:
		default: // Not yet received.
		}
	}
	return v.next, nil
}

// begin returns the read for which streams wait, or nil. Streams that come later wait for the one after it.
func (v *versionChecks) begin() *versionCheck {
	v.mu.Lock()
	defer v.mu.Unlock()
	check := v.next
	v.next = nil
	return check
}

func (v *versionChecks) end(now time.Time, check *versionCheck) {
	if check.err != nil {
		v.mu.Lock()
		v.failedAt = now
		v.mu.Unlock()
	}
	close(check.done)
}

// checkVersions reads the records while streams wait that are not known here.
func (g *Gateway) checkVersions(ctx context.Context) error {
	dep := dependency{g: g, name: "version checks"}
	era, restoredAt := int64(0), time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.checks.wake:
		}
		check := g.checks.begin()
		if check == nil {
			continue
		}
		read, cancel := context.WithTimeout(ctx, versionCheckTimeout)
		check.records, check.err = g.readVersions(read)
		now := time.Now()
		if latest := g.Store.Era(); latest != era {
			if era > 0 {
				restoredAt = now
			}
			era = latest
		}
		if check.err == nil && now.Sub(restoredAt) < restoredDaemonsWait {
			// The copy may lack a version, which the daemons that know it record again.
			check.err = errRestored
		}
		// With links by place a record has the streams of all places, which is too much to read for each check.
		if v := g.view.Load(); check.err == nil && g.begun.ambiguous(now) && !v.byPlace() {
			check.err = g.readStreams(read, v, map[string]int64{})
		}
		cancel()
		dep.noteResult(check.err)
		g.checks.end(now, check)
		sleep(ctx, max(minVersionCheckInterval, time.Duration(len(g.view.Load().daemons()))*versionCheckInterval))
	}
}

// daemons returns all daemons that are known.
func (v *View) daemons() []Daemon {
	if v == nil {
		return nil
	}
	return v.Daemons
}

// requireVersion sets the version that the servers of a stream must have that the caller takes up. If it
// is not known, the request is refused: servers of another version would write what does not fit.
func (s *session) requireVersion() *problem.Problem {
	s.began = s.call.ID
	if !s.route.Stream || s.call.LastEventID == "" && s.call.Resumes == "" {
		return nil
	}
	if s.call.Resumes != "" {
		s.began = s.call.Resumes
	}
	version, basis := s.beganAt()
	s.logTakeUp(version, basis)
	if basis == basisNone {
		p := problem.New(problem.NoCapacity, "version at which stream %q began is not known", s.began)
		p.RetryAfter = jitter(unknownVersionRetryAfter)
		return p
	}
	s.version = &version
	return nil
}

// beganAt returns the version at which the stream began. This daemon may have stood still or been cut off while
// servers of a new version joined and the stream began there. What it does not know it therefore concludes only
// from records that it reads now.
func (s *session) beganAt() (string, versionBasis) {
	stream := origin.StreamOf(s.began)
	if version, ok := s.g.begun.versionOf(s.received, stream); ok {
		return version, basisStream
	}
	check, err := s.g.checks.join(s.received)
	if err != nil {
		return "", basisNone
	}
	timeout := time.NewTimer(min(versionCheckTimeout, time.Until(s.deadline)))
	defer timeout.Stop()
	select {
	case <-check.done:
	case <-timeout.C:
	case <-s.r.Context().Done():
	}
	now := time.Now()
	if version, ok := s.g.begun.versionOf(now, stream); ok { // A peer may have sent it meanwhile.
		return version, basisRecord
	}
	select {
	case <-check.done:
	default:
		return "", basisNone
	}
	if check.err != nil {
		return "", basisNone
	}
	if version, ok := s.g.begun.onlyVersionOf(now, s.service, check.records[s.service]); ok {
		return version, basisOnlyVersion
	}
	return "", basisNone
}

func (s *session) logTakeUp(version string, basis versionBasis) {
	s.g.requestMetrics.recordTakeUp(basis)
	s.g.Log.Info("stream taken up", logs.RequestID, s.call.ID, "Began", s.began, "LastEvent", s.call.LastEventID, "Service", s.service,
		"Version", version, "Basis", basis, "Known", s.g.begun.versionsOfServices(s.received)[s.service], "ServersAge", s.g.serversAge(s.received).Milliseconds())
}
