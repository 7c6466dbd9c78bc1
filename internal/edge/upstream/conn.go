package upstream

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errSealed is returned by writes to a connection after its request failed.
var errSealed = errors.New("connection is closed for writing after a failed request")

// trackedConn knows whether bytes were written to it since a given moment, so
// that a failed request can be proven not to have reached the peer.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts the bytes before they are handed to the kernel, since a failed
// write may have sent any part of them.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal forbids further writes and reports whether none began since mark.
func (c *trackedConn) seal(mark int64) (untouched bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written == mark
}

// dialTracked wraps a dial function so that its connections are tracked.
func dialTracked(dial DialFunc) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// sendProof observes the connections that one request was given.
type sendProof struct {
	mu    sync.Mutex
	conns []markedConn
}

type markedConn struct {
	conn *trackedConn
	mark int64
}

// trace returns ctx with hooks that record each connection given to a request.
func (p *sendProof) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: p.gotConn})
}

func (p *sendProof) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, markedConn{conn, conn.mark()})
}

// notSent reports whether no byte of the failed request can have been sent. It
// seals the connections, so that none can be sent later either.
func (p *sendProof) notSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	untouched := true
	for _, c := range p.conns {
		untouched = c.conn.seal(c.mark) && untouched
	}
	return untouched
}
