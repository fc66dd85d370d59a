package entry

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/intake"
)

// Status is the status of a daemon in the operator API.
type Status struct {
	Daemon        string          `json:"Daemon"`
	Region        string          `json:"Region"`
	Place         string          `json:"Place"`
	CallerAddress string          `json:"CallerAddress"`
	Draining      bool            `json:"Draining"`
	Revision      int64           `json:"Revision"`
	Confirmed     string          `json:"Confirmed"`
	Alarm         string          `json:"Alarm,omitempty"`
	Queued        int             `json:"Queued"`
	Running       int             `json:"Running"`
	Counts        dispatch.Counts `json:"Counts"`
	Queues        []QueueStatus   `json:"Queues"`
	Servers       []ServerStatus  `json:"Servers"`
	Daemons       []DaemonStatus  `json:"Daemons"`
	// LedgerShards are the ledger shards held by this daemon. Duties has the fencing
	// number of each single-holder duty that it holds.
	LedgerShards []int             `json:"LedgerShards"`
	Duties       map[string]uint64 `json:"Duties"`
	Relay        bool              `json:"Relay"`
}

// QueueStatus describes the queued requests of one organisation in one rank of a
// service.
type QueueStatus struct {
	Service           string  `json:"Service"`
	Rank              string  `json:"Rank"`
	Organisation      string  `json:"Organisation"`
	Queued            int     `json:"Queued"`
	OldestWaitSeconds float64 `json:"OldestWaitSeconds"`
	MeanWaitSeconds   float64 `json:"MeanWaitSeconds"`
	Tokens            float64 `json:"Tokens"`
}

// ServerStatus is a backend server in the view of the daemon.
type ServerStatus struct {
	Server      string `json:"Server"`
	Incarnation int64  `json:"Incarnation"`
	Service     string `json:"Service"`
	Place       string `json:"Place"`
	State       string `json:"State"`
	Suspect     bool   `json:"Suspect"`
	InFlight    int    `json:"InFlight"`
}

// DaemonStatus is another daemon in the view of this one.
type DaemonStatus struct {
	Daemon        string `json:"Daemon"`
	Place         string `json:"Place"`
	Region        string `json:"Region"`
	CallerAddress string `json:"CallerAddress"`
	PeerAddress   string `json:"PeerAddress"`
	Draining      bool   `json:"Draining"`
}

// serveOperators serves the operator API until the context is cancelled.
func (d *Daemon) serveOperators(ctx context.Context, l net.Listener) error {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.UseRouter(d.authenticateOperator)
	app.Get("/status", func(c iris.Context) { _ = c.JSON(d.status()) }) // Write errors mean that the operator disconnected.
	app.Get("/metrics", func(c iris.Context) {
		c.ContentType("text/plain; version=0.0.4")
		d.metrics.writeText(c.ResponseWriter(), d.dispatcher.Status(time.Now()))
	})
	app.Post("/drain", func(c iris.Context) {
		var deadline time.Time
		if span, err := time.ParseDuration(c.URLParam("within")); err == nil {
			deadline = time.Now().Add(span)
		}
		d.Drain(ctx, deadline)
		_ = c.JSON(d.status()) // Write errors mean that the operator disconnected.
	})
	if err := app.Build(); err != nil {
		return errors.Annotate(err, "build operator API")
	}
	return serveHTTP(ctx, &intake.Gate{}, &http.Server{
		Handler: app, ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
	}, l)
}

// authenticateOperator rejects requests without the operators' bearer token.
func (d *Daemon) authenticateOperator(c iris.Context) {
	want := "Bearer " + d.Settings.OperatorToken
	got := c.GetHeader("Authorization")
	if d.Settings.OperatorToken != "" && subtle.ConstantTimeCompare([]byte(want), []byte(got)) != 1 {
		c.StopWithStatus(iris.StatusUnauthorized)
		return
	}
	c.Next()
}

func (d *Daemon) status() Status {
	now := time.Now()
	v := d.view.Load()
	work := d.dispatcher.Status(now)
	s := Status{
		Daemon: d.Settings.Daemon, Region: d.Settings.Region, Place: d.Settings.Place, CallerAddress: d.addrs.caller,
		Draining: v.Draining, Revision: v.Revision, Confirmed: v.Confirmed, Alarm: v.Alarm, Queued: work.Queue.Queued,
		Running: work.Queue.Running, Counts: work.Counts,
	}
	s.Relay, s.Duties = v.Relay, map[string]uint64{}
	if fence := d.placementFence.Load(); fence != 0 {
		s.Duties["placement/"+d.Settings.Region] = fence
	}
	if reg := d.registrar.Load(); reg != nil {
		s.LedgerShards = reg.HeldShards()
	}
	for _, f := range work.Queue.Flows {
		s.Queues = append(s.Queues, QueueStatus{
			Service: f.Service, Rank: f.Rank, Organisation: f.Organisation, Queued: f.Queued,
			OldestWaitSeconds: f.OldestWait.Seconds(), MeanWaitSeconds: f.MeanWait.Seconds(), Tokens: f.Tokens,
		})
	}
	for _, m := range v.Members {
		s.Servers = append(s.Servers, ServerStatus{
			Server: m.Server, Incarnation: m.Incarnation, Service: m.Service, Place: m.Place,
			State: m.State.String(), Suspect: m.Suspect(now), InFlight: work.InFlight[m.Server],
		})
	}
	for _, other := range v.Daemons {
		s.Daemons = append(s.Daemons, DaemonStatus{
			Daemon: other.ID, Place: other.Place, Region: other.Region, CallerAddress: other.CallerAddress,
			PeerAddress: other.PeerAddress, Draining: other.Draining,
		})
	}
	return s
}
