package gateway

import (
	"context"
	"sync"
	"time"

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
	// basisRecord means that the stream became known since the request came, from the records of begun streams or
	// from a peer.
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
	// versionCheckInterval times the number of daemons is the least time between two such reads at a daemon, but
	// not less than minVersionCheckInterval. After the loss of a place all daemons may read at the same time, and
	// make up to 2,000 reads a second together.
	versionCheckInterval    = 500 * time.Microsecond
	minVersionCheckInterval = 20 * time.Millisecond
)

// versionCheckPause returns the least time between two reads.
func versionCheckPause(daemons int) time.Duration {
	return max(minVersionCheckInterval, time.Duration(daemons)*versionCheckInterval)
}

// versionCheck is a read of the records that streams wait for.
type versionCheck struct {
	// services are those of the streams that wait.
	services map[string]bool
	done     chan struct{}
	// records has the records of versions, by service, and err why they could not be read. They are set before
	// done is closed.
	records map[string]origin.Record
	err     error
}

// versionChecks collects the streams that are not known here, so that one read serves all that came before it.
type versionChecks struct {
	mu sync.Mutex
	// next is the read that has not begun; nil means that nobody waits.
	next *versionCheck
	wake chan struct{}
	// retry and retryAt delay the read after one that failed.
	retry   backoff
	retryAt time.Time
}

// join returns the next read that begins, or nil if the last one failed a short time ago.
func (v *versionChecks) join(now time.Time, service string) *versionCheck {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Before(v.retryAt) {
		return nil
	}
	if v.next == nil {
		v.next = &versionCheck{services: map[string]bool{}, done: make(chan struct{})}
		select {
		case v.wake <- struct{}{}:
		default: // Not yet received.
		}
	}
	v.next.services[service] = true
	return v.next
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
	v.mu.Lock()
	v.retryAt = now.Add(v.retry.next(check.err))
	v.mu.Unlock()
	close(check.done)
}

// needsStreams reports whether a stream waits whose service has several versions.
func (c *versionCheck) needsStreams() bool {
	for service := range c.services {
		if len(c.records[service].Versions) > 1 {
			return true
		}
	}
	return false
}

// checkVersions reads the records while streams wait that are not known here.
func (g *Gateway) checkVersions(ctx context.Context) error {
	dep := dependency{g: g, name: "version checks"}
	var streamsReadAt time.Time
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
		if check.err == nil && g.begun.lacksRestored(time.Now()) {
			check.err = errRestored
		}
		dep.noteResult(check.err)
		// With links by place a record has the streams of all places, which is too much to read for each check.
		v := g.view.Load()
		if now := time.Now(); check.err == nil && check.needsStreams() && !v.byPlace() && now.Sub(streamsReadAt) >= streamRecordInterval {
			if err := g.readStreams(read, v, map[string]int64{}); err == nil { // Else the streams are refused.
				streamsReadAt = now
			}
		}
		cancel()
		g.checks.end(time.Now(), check)
		sleep(ctx, versionCheckPause(len(v.daemons())))
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
	check := s.g.checks.join(s.received, s.service)
	if check == nil {
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
