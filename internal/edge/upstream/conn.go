package upstream

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// errWritesBlocked is returned by writes to a connection whose request has failed.
var errWritesBlocked = errors.New("connection is blocked for writing after a failed request")

// trackedConn counts the bytes written to it. The count proves whether a failed
// request can have reached the peer.
type trackedConn struct {
	net.Conn
	peer          *peerConns
	mu            sync.Mutex
	written       int64
	writesBlocked bool
	// writing is held while bytes are written; writeErr is the first error of a
	// write and guarded by it.
	writing  sync.Mutex
	writeErr error

	// useMu guards the requests on the connection. One that is retired is closed as
	// soon as there is none.
	useMu   sync.Mutex
	uses    int
	retired bool
}

// acquire records that a request uses the connection.
func (c *trackedConn) acquire() {
	c.useMu.Lock()
	defer c.useMu.Unlock()
	c.uses++
}

// release records that a request no longer uses the connection.
func (c *trackedConn) release() {
	c.useMu.Lock()
	c.uses--
	end := c.retired && c.uses == 0
	c.useMu.Unlock()
	if end {
		_ = c.Close()
	}
}

// retire closes the connection once no request uses it.
func (c *trackedConn) retire() {
	c.useMu.Lock()
	c.retired = true
	end := c.uses == 0
	c.useMu.Unlock()
	if end {
		_ = c.Close()
	}
}

// Read records that the upstream is not silent.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.peer != nil {
		c.peer.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	if c.peer != nil {
		c.peer.remove(c)
	}
	return c.Conn.Close()
}

// connTable holds the open connections by address.
type connTable struct {
	mu    sync.Mutex
	peers map[string]*peerConns
}

// peerConns holds the open connections to one address.
type peerConns struct {
	table   *connTable
	address string
	conns   map[*trackedConn]struct{}
	// lastRead is the time of the last received byte, in Unix nanoseconds.
	lastRead atomic.Int64
}

// add registers a connection. A connection that can ask to be left, through another
// instance, is retired then.
func (t *connTable) add(address string, conn net.Conn) *trackedConn {
	t.mu.Lock()
	p := t.peers[address]
	if p == nil {
		p = &peerConns{table: t, address: address, conns: map[*trackedConn]struct{}{}}
		t.peers[address] = p
	}
	c := &trackedConn{Conn: conn, peer: p}
	p.conns[c] = struct{}{}
	t.mu.Unlock()
	if through, ok := conn.(interface{ OnLeaving(f func()) }); ok {
		through.OnLeaving(c.retire)
	}
	return c
}

func (p *peerConns) remove(c *trackedConn) {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	delete(p.conns, c)
	if len(p.conns) == 0 && p.table.peers[p.address] == p {
		delete(p.table.peers, p.address)
	}
}

// retire closes the open connections to an address once no request uses them.
func (t *connTable) retire(address string) {
	t.mu.Lock()
	var conns []*trackedConn
	if p := t.peers[address]; p != nil {
		conns = slices.Collect(maps.Keys(p.conns))
	}
	t.mu.Unlock()
	for _, c := range conns {
		c.retire()
	}
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
func dialTracked(dial DialFunc, table *connTable) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return table.add(address, conn), nil
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
	conn.acquire()
	t.conns = append(t.conns, usedConn{conn, conn.bytesWritten()})
}

// release ends the use of the connections by the request.
func (t *writeTracker) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		c.conn.release()
	}
	t.conns = nil
}

// current returns the connection of the request, nil before it has one.
func (t *writeTracker) current() *trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) == 0 {
		return nil
	}
	return t.conns[len(t.conns)-1].conn
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

// Through returns the instance over which a connection of a Client goes, empty for a
// direct one.
func Through(conn net.Conn) string {
	tracked, ok := conn.(*trackedConn)
	if !ok {
		return ""
	}
	through, ok := tracked.Conn.(interface{ Through() string })
	if !ok {
		return ""
	}
	return through.Through()
}
