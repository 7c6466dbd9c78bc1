package upstream

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errWritesBlocked is returned by writes to a connection whose request has failed.
var errWritesBlocked = errors.New("connection is blocked for writing after a failed request")

// trackedConn counts the bytes written to it. The count proves whether a failed
// request can have reached the peer.
type trackedConn struct {
	net.Conn
	mu            sync.Mutex
	written       int64
	writesBlocked bool
	// writing is held while bytes are written; writeErr is the first error of a
	// write and guarded by it.
	writing  sync.Mutex
	writeErr error
}

// Write counts the bytes before it passes them to the kernel, since a failed
// write may have sent any part of them.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// awaitWrite waits for the end of a write in progress, and returns the error of the
// writes so far. A write ends at the latest when the connection is closed.
func (c *trackedConn) awaitWrite() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// bytesWritten returns the number of bytes of all writes so far.
func (c *trackedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// blockWrites rejects all further writes. It reports whether no write has started
// since bytesWritten returned before.
func (c *trackedConn) blockWrites(before int64) (unwritten bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.written == before
}

// dialTracked wraps a dial function so that it returns trackedConns.
func dialTracked(dial DialFunc) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// errResent cancels a request that the transport would send a second time.
var errResent = errors.New("the connection broke after the request was sent")

// writeTracker records the connections that the transport uses for one request,
// and cancels the request before it is sent a second time: the transport repeats
// a request without a body by itself if a kept connection breaks and the method
// or an Idempotency-Key header makes the request idempotent by its rules.
type writeTracker struct {
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	conns []usedConn
}

// usedConn is a connection and the number of bytes written to it before the
// request got it.
type usedConn struct {
	conn          *trackedConn
	writtenBefore int64
}

// withTrace returns ctx with a hook that records the connections of a request.
func (t *writeTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *writeTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.blockWrites() {
		conn.blockWrites(conn.bytesWritten())
		t.cancel(errResent)
	}
	t.conns = append(t.conns, usedConn{conn, conn.bytesWritten()})
}

// blockWrites blocks further writes on the connections of the request. It reports
// whether nothing has been written since the request got them.
func (t *writeTracker) blockWrites() (unwritten bool) {
	unwritten = true
	for _, c := range t.conns {
		unwritten = c.conn.blockWrites(c.writtenBefore) && unwritten
	}
	return unwritten
}

// notSent reports whether no byte of the failed request can have been sent. It
// blocks further writes on the connections, so that none is sent later either.
func (t *writeTracker) notSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.blockWrites()
}
