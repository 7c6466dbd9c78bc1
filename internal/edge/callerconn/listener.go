// Package callerconn manages the connections of callers: it applies the limits in
// force, also to connections that are already open, and ends requests in a planned
// stop.
package callerconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits are the timeouts of a connection. Zero means no timeout.
type Limits struct {
	// Header limits the time to read the header of a request.
	Header time.Duration
	// Idle limits the time between two requests.
	Idle time.Duration
}

// An http.Server reads its timeouts without synchronization, so that they cannot
// change while it serves. The server is therefore given these placeholders, which
// the connections of a Listener recognize and replace by the limits in force.
// They are far apart from each other and from any other deadline.
const (
	idlePlaceholder   = 1000 * time.Hour
	headerPlaceholder = 3000 * time.Hour
)

// Configure sets the timeouts of a server that serves a Listener.
func Configure(s *http.Server) {
	s.IdleTimeout, s.ReadHeaderTimeout = idlePlaceholder, headerPlaceholder
}

// receiveBufferBytes is the receive buffer of a connection. The kernel would let it
// grow to several megabytes, which a client fills whose body is refused or waits. It
// may hold twice as many bytes.
const receiveBufferBytes = 16 << 10

// Listener accepts connections of callers.
type Listener struct {
	net.Listener
	closeOnce sync.Once
	closeErr  error

	mu     sync.Mutex
	limits Limits
	conns  map[*conn]struct{}
}

// Listen opens a listener whose connections obey limits until SetLimits.
func Listen(address string, limits Limits) (*Listener, error) {
	// Connections inherit the buffer, which must be known when a connection is
	// opened: the window that was offered to a client cannot be taken back.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) { setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) })
		return errors.Join(err, setErr)
	}}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	return &Listener{Listener: inner, limits: limits, conns: map[*conn]struct{}{}}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener. A planned stop closes the listener before its
// server does.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// SetLimits puts limits into force. A connection that is waiting keeps the time
// that it has waited.
func (l *Listener) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits == l.limits {
		return
	}
	l.limits = limits
	for c := range l.conns {
		// An error means that the connection is closed.
		_ = c.applyLimits()
	}
}

// waiting is what a connection waits for.
type waiting uint8

const (
	forNothing waiting = iota
	forRequest
	forHeader
)

// conn is a connection of a caller. Its fields are guarded by the listener's mu.
type conn struct {
	net.Conn
	listener *Listener
	waiting  waiting
	since    time.Time
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.waiting, c.since = waitingFor(now, t), now
	if c.waiting == forNothing {
		return c.Conn.SetReadDeadline(t)
	}
	return c.applyLimits()
}

// waitingFor returns what a server waits for that sets a read deadline.
func waitingFor(now, deadline time.Time) waiting {
	switch until := deadline.Sub(now); {
	case deadline.IsZero() || until < idlePlaceholder/2:
		return forNothing
	case until < (idlePlaceholder+headerPlaceholder)/2:
		return forRequest
	}
	return forHeader
}

// applyLimits sets the deadline of a connection that waits. The caller holds mu.
func (c *conn) applyLimits() error {
	var limit time.Duration
	switch c.waiting {
	case forNothing:
		return nil
	case forRequest:
		limit = c.listener.limits.Idle
	case forHeader:
		limit = c.listener.limits.Header
	}
	if limit <= 0 {
		return c.Conn.SetReadDeadline(time.Time{})
	}
	return c.Conn.SetReadDeadline(c.since.Add(limit))
}

// CloseWrite lets the server close a connection without a reset of the last
// response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
