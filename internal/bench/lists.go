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

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingClient returns an HTTP client and the count of bytes on its connections in both
// directions.
func countingClient() (*http.Client, *atomic.Int64) {
	total := &atomic.Int64{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, total}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial}}, total
}

// serveLoopback serves a handler on a free port of the loopback interface.
func serveLoopback(h http.Handler) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Annotate(err, "listen on loopback")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = server.Serve(listener) // It returns when stop closes the server.
	}()
	return listener.Addr().String(), func() {
		_ = server.Close() // The listener is closed even on an error.
		<-stopped
	}, nil
}

// measureLists measures the bytes on the connections to the instance list and to the
// engines.
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
		client, bytes := countingClient()
		c := &instances.Client{Address: "http://" + address, Timeout: time.Minute, HTTP: client}
		micros := processorTime(func() { _, err = c.List(ctx) })
		before := bytes.Load()
		if err == nil {
			_, err = c.List(ctx)
		}
		listBytes := float64(bytes.Load() - before)
		client.CloseIdleConnections()
		stop()
		if err != nil {
			return r, err
		}
		size := sizeLabel(n, "servers")
		periods := entry.PeriodsOf(designDaemons, designDaemons/designPlaces, n, designConfigurationBytes)
		r.Figures = append(
			r.Figures, Figure{Name: "InstanceList", Policy: size, Value: listBytes, Unit: "bytes"},
			Figure{Name: "InstancePeriod", Policy: size, Value: periods.Instances.Seconds(), Unit: "s"},
			boundedFigure("InstanceBytes", size, listBytes/periods.Instances.Seconds(), "bytes/s", maxControlBytesPerSecond),
			wallClockFigure("InstanceListCall", size, micros, "us with the stand-in"),
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
	client, bytes := countingClient()
	defer client.CloseIdleConnections()
	c := &engine.Client{HTTP: client, IdleTimeout: time.Minute}
	poll := func() {
		if _, loadErr := c.Load(ctx, address); loadErr != nil {
			err = loadErr
		}
		if _, eventErr := c.CacheEvents(ctx, address, 0); eventErr != nil {
			err = eventErr
		}
	}
	micros := processorTime(poll)
	before := bytes.Load()
	poll()
	pollBytes := float64(bytes.Load() - before)
	periods := entry.PeriodsOf(designDaemons, designDaemons/designPlaces, designServers, designConfigurationBytes)
	pollsPerSecond := float64(periods.PolledServers) / periods.Engines.Seconds()
	return []Figure{
		{Name: "EnginePoll", Policy: "load and events", Value: pollBytes, Unit: "bytes"},
		{Name: "EnginePolls", Policy: "a daemon", Value: pollsPerSecond, Unit: "polls/s"},
		boundedFigure("EnginePollBytes", "a daemon", pollBytes*pollsPerSecond, "bytes/s", maxControlBytesPerSecond),
		wallClockFigure("EnginePollTime", "load and events", micros, "us with the stand-in"),
	}, err
}
