// Package backend is the HTTP/1.1 client for backend servers that are not trusted
// to keep the protocol. It owns its connections, because a caller of it has to
// know which requests certainly did not run, and which bytes of a connection
// answer which request: servers send late, second and truncated responses.
package backend

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultDialTimeout covers the lost opening packet of a full queue once (the
	// kernel sends it again after 1 s).
	defaultDialTimeout = 1200 * time.Millisecond
	// defaultIdle is kept for servers that do not state their idle timeout.
	defaultIdle = 10 * time.Second
	// idleMargin keeps away from the moment at which the server closes an idle
	// connection.
	idleMargin = 500 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing, such as a
	// server that lost power or one behind a partition.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveCount find a connection that went silent while the
	// server is busy with the request.
	keepAliveIdle  = time.Second
	keepAliveCount = 2
	// readBuffer holds the head of a response and some events of a stream.
	readBuffer = 4 << 10
	// onceIdle is how long a connection may have been idle for a request that must not
	// be sent twice. A server may drop an idle connection without notice and sooner than
	// it said; what is sent next is reset and may have run.
	onceIdle = time.Second
	// idleListMax bounds the idle connections kept to one server.
	idleListMax = 64
)

// Names are the header names by which requests and responses are told apart.
type Names struct {
	// Attempt holds the id of a request and is echoed in its response.
	Attempt string
	// Signature marks a response that the server itself made.
	Signature string
	// NotRun marks a response that states that the request did not run.
	NotRun string
}

// Pool holds the connections to all backend servers. Exported fields are set
// before the first call.
type Pool struct {
	Names Names
	// DialTimeout bounds the opening of a connection; 0 means the default.
	DialTimeout time.Duration

	mu     sync.Mutex
	idle   map[string][]*conn
	opened int64
	reused int64
}

// conn is one connection, used by one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *reader
	// until is when the connection must not be used any more.
	until time.Time
	// idleSince is when its last response was complete.
	idleSince time.Time
}

// Counts returns how many connections were opened and how often one was reused.
func (p *Pool) Counts() (opened, reused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}

// get returns an idle connection that is sound, or nil. The last one that was used comes
// first.
func (p *Pool) get(now time.Time, address string, once bool) *conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		if once && now.Sub(c.idleSince) > onceIdle {
			p.mu.Unlock()
			return nil // Others may use it.
		}
		list[len(list)-1] = nil
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.until) && c.quiet() {
			p.mu.Lock()
			p.reused++
			p.mu.Unlock()
			return c
		}
		_ = c.Close() // Unused or spoilt; nothing waits for it.
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	if len(p.idle[c.address]) >= idleListMax {
		_ = c.Close() // The server has enough idle connections.
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Dialer returns a dialer of connections that end when the other side is silent, also
// while a response is waited for.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	timeout := p.DialTimeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	nc, err := Dialer(timeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: nc, address: address, reader: newReader(nc)}, nil
}

// Sweep closes the idle connections that are past their time and those to servers
// that are not in use any more.
func (p *Pool) Sweep(now time.Time, inUse func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) && inUse(address) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // No request uses it.
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Close ends the idle connections. Those in use end with their requests.
func (p *Pool) Close() {
	p.Sweep(time.Time{}, func(string) bool { return false })
}

// quiet reports whether an idle connection is open and has nothing to read. Bytes
// that arrive without a request belong to none.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
