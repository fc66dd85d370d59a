package bench

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/engine"
	"apricotbridge/internal/entry"
	"apricotbridge/internal/instances"
	"apricotbridge/internal/standin"
)

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countedClient is an HTTP client that counts the bytes of its connections in both
// directions.
func countedClient() (*http.Client, *atomic.Int64) {
	total := &atomic.Int64{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, total}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial}}, total
}

// serveLoopback serves a handler on a port of the loopback interface.
func serveLoopback(h http.Handler) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Annotate(err, "listen on loopback")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l) // It ends with stop.
	}()
	return l.Addr().String(), func() {
		_ = s.Close() // The listener is closed either way.
		<-ended
	}, nil
}

// measureLists counts the bytes on the connections to the instance list, to the
// engines and to the operator interface.
func measureLists(uint64) (Result, error) {
	var r Result
	ctx := context.Background()
	for _, n := range serverSizes {
		list := standin.NewInstances()
		for _, i := range fleetInstances(n).Instances {
			list.Put(i)
		}
		address, stop, err := serveLoopback(list.Handler())
		if err != nil {
			return r, err
		}
		client, bytes := countedClient()
		c := &instances.Client{Address: "http://" + address, Timeout: time.Minute, HTTP: client}
		spent := processorTime(func() { _, err = c.List(ctx) })
		before := bytes.Load()
		if err == nil {
			_, err = c.List(ctx)
		}
		one := float64(bytes.Load() - before)
		client.CloseIdleConnections()
		stop()
		if err != nil {
			return r, err
		}
		of := at(n, "servers")
		p := entry.PeriodsOf(designDaemons, designDaemons/designPlaces, n, designConfigurationBytes)
		r.Figures = append(
			r.Figures, Figure{Name: "InstanceList", Policy: of, Value: one, Unit: "bytes"},
			Figure{Name: "InstancePeriod", Policy: of, Value: p.Instances.Seconds(), Unit: "s"},
			within("InstanceBytes", of, one/p.Instances.Seconds(), "bytes/s", controlBytesPerSecond),
			clocked("InstanceListCall", of, spent, "us with the stand-in"),
		)
	}
	polls, err := enginePolls(ctx)
	r.Figures = append(r.Figures, polls...)
	return r, err
}

func enginePolls(ctx context.Context) ([]Figure, error) {
	e := &standin.Engine{Slots: 32, TokenTime: time.Millisecond, CacheTokens: 1 << 16}
	address, stop, err := serveLoopback(e.Handler())
	if err != nil {
		return nil, err
	}
	defer stop()
	client, bytes := countedClient()
	defer client.CloseIdleConnections()
	c := &engine.Client{HTTP: client, Idle: time.Minute}
	poll := func() {
		if _, loadErr := c.Load(ctx, address); loadErr != nil {
			err = loadErr
		}
		if _, eventErr := c.CacheEvents(ctx, address, 0); eventErr != nil {
			err = eventErr
		}
	}
	spent := processorTime(poll)
	before := bytes.Load()
	poll()
	one := float64(bytes.Load() - before)
	p := entry.PeriodsOf(designDaemons, designDaemons/designPlaces, designServers, designConfigurationBytes)
	rate := float64(p.PolledServers) / p.Engines.Seconds()
	return []Figure{
		{Name: "EnginePoll", Policy: "load and events", Value: one, Unit: "bytes"},
		{Name: "EnginePolls", Policy: "a daemon", Value: rate, Unit: "polls/s"},
		within("EnginePollBytes", "a daemon", one*rate, "bytes/s", controlBytesPerSecond),
		clocked("EnginePollTime", "load and events", spent, "us with the stand-in"),
	}, err
}
