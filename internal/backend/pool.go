// Package backend is an HTTP/1.1 client for backend servers that may violate the
// protocol: servers send late, duplicate and truncated responses. It manages its own
// connections, because its callers must know which requests certainly did not run and
// which response belongs to which request.
package backend

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"apricotbridge/internal/budget"
)

const (
	// defaultDialTimeout allows for one lost SYN at a full accept queue, which the
	// kernel retransmits after 1 s.
	defaultDialTimeout = 1200 * time.Millisecond
	// defaultIdleTimeout applies to servers that do not state their idle timeout.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is how long before the server's idle timeout a connection is given up.
	idleMargin = 500 * time.Millisecond
	// unackedTimeout closes a connection whose peer acknowledges nothing, such as a
	// server that lost power or is behind a partition.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveInterval and keepAliveProbes detect a dead connection while the server
	// works on the request.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// readBufferBytes holds the head of a response and a few stream events.
	readBufferBytes = 4 << 10
	// maxIdleForAtMostOnce is the longest idle time of a connection for a request that
	// must not be sent twice. A server may drop an idle connection without notice and
	// before its stated timeout; a request sent after that is reset, but may have run.
	maxIdleForAtMostOnce = time.Second
	// maxIdleConns limits the idle connections to one server.
	maxIdleConns = 64
)

// HeaderNames are the names of the headers that match responses to requests and describe
// their outcome.
type HeaderNames struct {
	// Attempt carries the attempt id of a request. The server returns it in the
	// response.
	Attempt string
	// Signature marks a response produced by the server itself.
	Signature string
	// NotRun marks a response to a request that did not run.
	NotRun string
	// Leaving is "1" in the responses of a server that is leaving.
	Leaving string
	// RequestRate carries the number of requests a second that a server takes.
	RequestRate string
}

// Pool manages the connections to all backend servers. Exported fields must be set
// before the first call.
type Pool struct {
	Names HeaderNames
	// DialTimeout limits the time to open a connection; 0 means defaultDialTimeout.
	DialTimeout time.Duration
	// MaxHeldBytes limits the bytes of all responses that are held in memory; 0 means
	// DefaultMaxHeldBytes.
	MaxHeldBytes int64

	mu     sync.Mutex
	idle   map[string][]*conn
	opened int64
	reused int64
	held   budget.Budget
}

// conn is a connection, used by one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufferedReader
	// used is set once a request was sent on the connection.
	used bool
	// usableUntil is the time after which the connection must not be reused.
	usableUntil time.Time
	// idleSince is when the last response was completed.
	idleSince time.Time
}

// Counts returns the number of opened connections and of reuses.
func (p *Pool) Counts() (opened, reused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}

// takeIdle returns the most recently used idle connection that is still usable, or nil.
func (p *Pool) takeIdle(now time.Time, address string, atMostOnce bool) *conn {
	for {
		p.mu.Lock()
		idle := p.idle[address]
		if len(idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := idle[len(idle)-1]
		if atMostOnce && now.Sub(c.idleSince) > maxIdleForAtMostOnce {
			p.mu.Unlock()
			return nil // Requests that may be repeated can still use it.
		}
		idle[len(idle)-1] = nil
		p.idle[address] = idle[:len(idle)-1]
		p.mu.Unlock()
		if now.Before(c.usableUntil) && c.openAndDrained() {
			p.mu.Lock()
			p.reused++
			p.mu.Unlock()
			return c
		}
		_ = c.Close() // Expired, closed or with unread bytes; no request uses it.
	}
}

// addIdle returns a connection to the pool.
func (p *Pool) addIdle(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	if len(p.idle[c.address]) >= maxIdleConns {
		_ = c.Close() // The server has enough idle connections.
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Dialer returns a dialer whose connections fail when the peer is silent, even while
// waiting for a response.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	timeout := p.DialTimeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	netConn, err := Dialer(timeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: netConn, address: address, reader: newBufferedReader(netConn)}, nil
}

const (
	// refusalTimeout limits the wait to learn whether a server still accepts connections.
	refusalTimeout = 200 * time.Millisecond
	// reachTimeout limits the wait to learn whether a server can be reached. A server under load
	// accepts connections later than an idle one.
	reachTimeout = 500 * time.Millisecond
)

// Refuses reports whether a server refuses a connection, which means that its process has
// ended.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	return errors.Is(p.probe(ctx, address, refusalTimeout), syscall.ECONNREFUSED)
}

// Reaches reports whether a connection to a server can be opened.
func (p *Pool) Reaches(ctx context.Context, address string) bool {
	return p.probe(ctx, address, reachTimeout) == nil
}

// probe opens a connection to a server and keeps it for the next request.
func (p *Pool) probe(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	c.usableUntil = time.Now().Add(defaultIdleTimeout - idleMargin)
	p.addIdle(c)
	return nil
}

// CloseUnusable closes idle connections that have expired or whose server is not in use.
func (p *Pool) CloseUnusable(now time.Time, inUse func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.usableUntil) && inUse(address) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // No request uses it.
		}
		clear(conns[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Close closes the idle connections. Connections in use end with their requests.
func (p *Pool) Close() {
	p.CloseUnusable(time.Time{}, func(string) bool { return false })
}

// openAndDrained reports whether an idle connection is open and has no bytes to read.
// Bytes that arrive without a request belong to no response.
func (c *conn) openAndDrained() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	drained := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, errno := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		drained = errno == unix.EAGAIN
		return true
	})
	return err == nil && drained
}
