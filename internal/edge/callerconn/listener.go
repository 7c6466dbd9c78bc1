// Package callerconn manages the connections of callers: it applies the limits in
// force, also to connections that are already open, and ends requests in a planned
// stop.
package callerconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

// Limits are the limits of a connection. Zero means no limit.
type Limits struct {
	// HeaderBytes limits the header of a request while it is read.
	HeaderBytes int
	// Header limits the time to read the header of a request.
	Header time.Duration
	// Idle limits the time between two requests.
	Idle time.Duration
}

// Configure prepares a server that serves a Listener.
func Configure(s *http.Server) {
	s.IdleTimeout, s.ReadHeaderTimeout = idlePlaceholder, headerPlaceholder
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
}

// Listener accepts connections of callers.
type Listener struct {
	net.Listener
	closeOnce sync.Once
	closeErr  error
	maxConns  int
	evicted   metrics.Counter
	refused   metrics.Counter
	tooLarge  metrics.Counter

	mu     sync.Mutex
	limits Limits
	conns  map[*conn]struct{}
}

// Options configures a Listener.
type Options struct {
	// Limits are in force until SetLimits.
	Limits Limits
	// MaxConnections is the number of connections that may be open.
	MaxConnections int
	Registry       metrics.Registry
}

// Listen opens a listener.
func Listen(address string, o Options) (*Listener, error) {
	// Connections inherit the buffer, which must be known when a connection is
	// opened: the window that was offered to a client cannot be taken back.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		})
		return errors.Join(err, setErr)
	}}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	l := &Listener{Listener: inner, maxConns: o.MaxConnections, limits: o.Limits, conns: map[*conn]struct{}{},
		evicted: metrics.GetOrRegisterCounter("connections.evicted", o.Registry), refused: metrics.GetOrRegisterCounter("connections.refused", o.Registry),
		tooLarge: metrics.GetOrRegisterCounter("headers.refused", o.Registry)}
	metrics.GetOrRegisterGauge("connections.limit", o.Registry).Update(int64(o.MaxConnections))
	_ = o.Registry.Register("connections.open", metrics.NewFunctionalGauge(func() int64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return int64(len(l.conns))
	}))
	return l, nil
}

// Accept implements net.Listener. When all connections are taken, it closes the one
// that is most easily missed. If all of them are served, the new one is refused.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, listener: l, waiting: forHeader, since: time.Now()}
		victim, ok := l.add(c)
		if victim != nil {
			l.evicted.Inc(1)
			// An error means that the connection is closed.
			_ = victim.Conn.Close()
		}
		if ok {
			return c, nil
		}
		l.refused.Inc(1)
		refuse(inner)
	}
}

// refusal is the answer to a connection for which there is no room. Its request has
// not been read.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuse answers and closes a connection. The answer fits into the send buffer.
func refuse(c net.Conn) {
	// A client that has left needs no answer.
	_, _ = io.WriteString(c, refusal)
	_ = c.Close()
}

// add records a new connection. At the limit it returns the connection to close, or
// false if there is none.
func (l *Listener) add(c *conn) (victim *conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.maxConns {
		if victim = l.victim(); victim == nil {
			return nil, false
		}
		delete(l.conns, victim)
	}
	l.conns[c] = struct{}{}
	return victim, true
}

// victim returns the connection to close for a new one, or nil if all are served: one
// that is answered, else an idle one, else one without a whole header or body. Of these
// it is the one that has waited longest for its client. The caller holds mu.
func (l *Listener) victim() *conn {
	var found *conn
	var rank waiting
	var since time.Time
	for c := range l.conns {
		if c.waiting == forNothing {
			continue
		}
		// A client that sends a body slowly is kept rather than a silent one.
		r, s := min(c.waiting, forHeader), c.since
		if at := time.Unix(0, c.receivedAt.Load()); r == forHeader && at.After(s) {
			s = at
		}
		if found == nil || r < rank || r == rank && s.Before(since) {
			found, rank, since = c, r, s
		}
	}
	return found
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
