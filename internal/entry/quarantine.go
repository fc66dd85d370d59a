package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/message"
	"apricotbridge/internal/quarantine"
)

// quarantine hands a request that is suspected of crashing servers to the daemon
// that runs the suspects of its service, which thus knows the outcome of each run.
// It reports false when the request runs here: it is not a suspect, this daemon is
// the owner, or the owner does not take it.
func (d *Daemon) quarantine(ctx context.Context, call *modelCall, a *answer, w *dispatch.Work) bool {
	if call.suspect || call.durable {
		return false // It was handed over, or the ledger runs it here.
	}
	verdict := d.dispatcher.Verdict(time.Now(), w.Fingerprint)
	if verdict != quarantine.Apart && verdict != quarantine.Alone {
		return false
	}
	owner, ok := d.suspectOwner(call.service.Name)
	if !ok {
		return false
	}
	return d.handOverTo(ctx, call, a, []membership.Daemon{owner}, d.dispatcher.SuspectsOf(w.Fingerprint))
}

// suspectOwner returns the daemon that runs the suspects of a service when it is
// another one.
func (d *Daemon) suspectOwner(service string) (membership.Daemon, bool) {
	v := d.view.Load()
	var ids []string
	for _, other := range v.Daemons {
		if v.reached[other.ID] && !other.Draining {
			ids = append(ids, other.ID)
		}
	}
	owner := quarantine.Owner(service, ids)
	if owner == d.Settings.Daemon {
		return membership.Daemon{}, false
	}
	return v.daemon(owner)
}

// relay passes the answer of a suspect on from the daemon that runs it, after the
// given event. It reports false when that daemon is not reached; the caller is
// then told where the answer is.
func (d *Daemon) relay(w http.ResponseWriter, r *http.Request, a *answer, owner string, after int64, begun bool) bool {
	target, ok := d.view.Load().daemon(owner)
	if !ok {
		return false
	}
	headers := []message.Header{{Name: "Accept", Value: "application/json"}}
	if begun || after > 0 || a.streamed {
		headers = []message.Header{
			{Name: "Accept", Value: "text/event-stream"},
			{Name: "Last-Event-ID", Value: strconv.FormatInt(after, 10)},
		}
	}
	res, err := d.hub.Forward(r.Context(), target.PeerAddress, message.Forward{
		RequestID: a.id, Organisation: a.organisation, Method: http.MethodGet, Path: "/v1/requests/" + a.id, Headers: headers,
	})
	if err != nil {
		d.Log.Info("answer of a suspect not passed on", "RequestID", a.id, "Peer", owner, "Error", err.Error())
		return false
	}
	defer res.Close()
	if !begun {
		passOn(w, res)
		return true
	}
	if res.Status != http.StatusOK {
		// The stream has begun here, so that the problem is an event of its own.
		_, _ = io.WriteString(w, "event: error\ndata: ") // A caller that has gone may resume.
		defer func() { _, _ = fmt.Fprint(w, "\n\n") }()  // The same.
	}
	copyParts(w, res.Next)
	return true
}

// copyParts sends the parts of a response. One that breaks off is cut off here as
// well, so that it never looks complete.
func copyParts(w http.ResponseWriter, next func() ([]byte, error)) {
	flush := http.NewResponseController(w)
	for {
		part, err := next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		_ = flush.Flush() // A caller that has gone is noticed by the next write.
	}
}
