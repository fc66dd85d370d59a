package entry

import (
	"context"
	"crypto/subtle"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"
)

// Status is what a daemon tells operators of itself.
type Status struct {
	Daemon        string         `json:"Daemon"`
	Region        string         `json:"Region"`
	Place         string         `json:"Place"`
	CallerAddress string         `json:"CallerAddress"`
	Draining      bool           `json:"Draining"`
	Revision      int64          `json:"Revision"`
	Servers       []ServerStatus `json:"Servers"`
	Daemons       []Registration `json:"Daemons"`
}

// ServerStatus is a backend server as the daemon knows it.
type ServerStatus struct {
	Server      string `json:"Server"`
	Incarnation int64  `json:"Incarnation"`
	Service     string `json:"Service"`
	Place       string `json:"Place"`
	State       string `json:"State"`
	InFlight    int    `json:"InFlight"`
}

// serveOperators serves the operator API until the context ends.
func (d *Daemon) serveOperators(ctx context.Context, l net.Listener) error {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.UseRouter(d.checkOperator)
	app.Get("/status", func(c iris.Context) { _ = c.JSON(d.status()) }) // An operator that has gone needs no answer.
	app.Post("/drain", func(c iris.Context) {
		var deadline time.Time
		if span, err := time.ParseDuration(c.URLParam("within")); err == nil {
			deadline = time.Now().Add(span)
		}
		d.Drain(ctx, deadline)
		_ = c.JSON(d.status()) // An operator that has gone needs no answer.
	})
	if err := app.Build(); err != nil {
		return errors.Annotate(err, "build operator API")
	}
	server := d.callerServer()
	server.Handler = app
	return serveHTTP(ctx, server, l)
}

// checkOperator refuses requests without the operators' bearer token.
func (d *Daemon) checkOperator(c iris.Context) {
	want := "Bearer " + d.Settings.OperatorToken
	got := c.GetHeader("Authorization")
	if d.Settings.OperatorToken != "" && subtle.ConstantTimeCompare([]byte(want), []byte(got)) != 1 {
		c.StopWithStatus(iris.StatusUnauthorized)
		return
	}
	c.Next()
}

func (d *Daemon) status() Status {
	v := d.view.Load()
	s := Status{
		Daemon: d.Settings.Daemon, Region: d.Settings.Region, Place: d.Settings.Place, CallerAddress: d.addrs.caller,
		Draining: v.Draining, Revision: v.Revision, Daemons: v.Peers,
	}
	d.flights.mu.Lock()
	defer d.flights.mu.Unlock()
	for _, server := range v.Servers {
		s.Servers = append(s.Servers, ServerStatus{
			Server: server.ID, Incarnation: server.Incarnation, Service: server.Service, Place: server.Place,
			State: string(server.State), InFlight: d.flights.count[server.ID],
		})
	}
	return s
}
