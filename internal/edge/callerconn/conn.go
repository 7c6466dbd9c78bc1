package callerconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// An http.Server reads its timeouts without synchronization, so that they cannot
// change while it serves. The server is therefore given these placeholders, which
// the connections of a Listener recognize and replace by the limits in force.
// They are far apart from each other and from any other deadline.
const (
	idlePlaceholder   = 1000 * time.Hour
	headerPlaceholder = 3000 * time.Hour
)

// receiveBufferBytes is the receive buffer of a connection. The kernel would let it
// grow to several megabytes, which a client fills whose body is refused or waits. It
// may hold twice as many bytes.
const receiveBufferBytes = 16 << 10

// bodyReceiveBufferBytes is the receive buffer while a body of BulkBytes or more is
// read. The small one limits a client with a round trip of 10 ms to 3 MB a second.
const bodyReceiveBufferBytes = 128 << 10

const (
	// BulkBytes is the length from which on a body gets a larger receive buffer.
	BulkBytes = 1 << 20
	// BulkBuffer is the memory that this buffer may take: the kernel lets it hold
	// twice its size.
	BulkBuffer = 2 * bodyReceiveBufferBytes
)

// waiting is what a connection waits for from its client.
type waiting uint8

const (
	// forNothing is the state while a request is served.
	forNothing waiting = iota
	// forClose: the connection is answered and closes.
	forClose
	forRequest
	forHeader
	forBody
)

// conn is a connection of a caller. Its fields are guarded by the listener's mu.
type conn struct {
	net.Conn
	listener *Listener
	waiting  waiting
	since    time.Time
	// inHeader is set while the connection waits for a header, of which headerBytes
	// have been read. A connection has one reader.
	inHeader    atomic.Bool
	headerBytes atomic.Int64
	// receivedAt is the time of the last bytes, in nanoseconds since 1970.
	receivedAt atomic.Int64
	// bulk is set while the connection has the larger receive buffer.
	bulk bool
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	next := waitingFor(now, t)
	c.headerBytes.Store(0)
	c.inHeader.Store(next == forHeader)
	if next == forNothing {
		if c.waiting != forBody && c.waiting != forClose {
			c.waiting, c.since = forNothing, now
		}
		return c.Conn.SetReadDeadline(t)
	}
	c.waiting, c.since = next, now
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

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// WaitForBody marks the connection of a request as waiting for its body, if it has one.
// It stays so if the request is rejected, since the body may still be under way.
func WaitForBody(r *http.Request) {
	if r.ContentLength != 0 {
		setWaiting(r.Context(), forBody)
	}
}

// unreadBodyTime is how long the rest of a body may take that is not read. The server
// reads up to 256 KiB of it, to keep the connection for the next request.
const unreadBodyTime = 500 * time.Millisecond

// LimitUnreadBody limits the time for the body of a request that is answered without
// it. A client that keeps it back would hold its connection for good.
func LimitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// An error means that the connection is closed.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
}

// ReceiveBulk gives the connection of a request a larger receive buffer until its body
// has arrived or is refused. Memory for it must be reserved before.
func ReceiveBulk(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.setReceiveBuffer(true)
	}
}

// setReceiveBuffer sets the receive buffer. The caller holds mu.
func (c *conn) setReceiveBuffer(bulk bool) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || bulk == c.bulk {
		return
	}
	c.bulk = bulk
	size := receiveBufferBytes
	if bulk {
		size = bodyReceiveBufferBytes
	}
	// An error means that the connection is closed.
	_ = tcp.SetReadBuffer(size)
}

// BodyArrived marks the connection of a request as waiting for nothing.
func BodyArrived(ctx context.Context) { setWaiting(ctx, forNothing) }

func setWaiting(ctx context.Context, w waiting) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.setWaiting(w)
	}
}

func (c *conn) setWaiting(w waiting) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.waiting, c.since = w, time.Now()
	c.setReceiveBuffer(false)
}

// applyLimits sets the deadline of a connection that waits. The caller holds mu.
func (c *conn) applyLimits() error {
	var limit time.Duration
	switch c.waiting {
	case forNothing, forBody, forClose:
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

// headerSlack is what may be read beyond the limit of a header: the request line, the
// end of the header, and the start of the body, which the server reads into the same
// buffer of 4 KiB.
const headerSlack = 8 << 10

// headerTooLarge is the answer to a header over the limit.
const headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// errHeaderTooLarge ends the reading of a header over the limit.
var errHeaderTooLarge = errors.New("the header exceeds the limit")

// Read implements net.Conn. It bounds a header while it is read: a server knows only
// MaxHeaderBytes, which cannot change.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.receivedAt.Store(time.Now().UnixNano())
	}
	if !c.inHeader.Load() {
		return n, err
	}
	read := c.headerBytes.Add(int64(n))
	c.listener.mu.Lock()
	limit := c.listener.limits.HeaderBytes
	c.listener.mu.Unlock()
	if limit <= 0 || read <= int64(limit+headerSlack) {
		return n, err
	}
	c.listener.tooLarge.Inc(1)
	// A client that has left needs no answer.
	_, _ = io.WriteString(c.Conn, headerTooLarge)
	return 0, errHeaderTooLarge
}

// CloseWrite lets the server close a connection without a reset of the last
// response.
func (c *conn) CloseWrite() error {
	c.setWaiting(forClose)
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
