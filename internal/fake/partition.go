package fake

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// errPartitioned is returned for connections across a partition.
var errPartitioned = errors.New("partitioned")

// Partition connects processes on loopback and can cut them off from one
// another.
type Partition struct {
	mu sync.Mutex
	// owners maps an address to the name of its process.
	owners map[string]string
	cut    func(from, to string) bool
	block  func(from, to string) bool
	// slow gives the time that each write takes longer.
	slow  func(from, to string) time.Duration
	conns map[*partitionConn]struct{}
}

// NewPartition returns a network without cuts.
func NewPartition() *Partition {
	return &Partition{owners: map[string]string{}, conns: map[*partitionConn]struct{}{}}
}

// Register names the process that listens on an address.
func (p *Partition) Register(address, owner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owners[address] = owner
}

// Cut separates the processes for which the function returns true and breaks
// their connections. Nil heals all.
func (p *Partition) Cut(cut func(from, to string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.breakConns()
}

// Block cuts one way: the processes for which the function returns true cannot
// connect, while connections that the other side opens work. Nil heals all.
func (p *Partition) Block(block func(from, to string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.block = block
	p.breakConns()
}

// Slow makes each write of a connection, in either direction, take longer by the
// time that the function returns. Nil ends it.
func (p *Partition) Slow(slow func(from, to string) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = slow
}

func (p *Partition) pause(c *partitionConn) {
	p.mu.Lock()
	slow := p.slow
	p.mu.Unlock()
	if slow != nil {
		time.Sleep(slow(c.from, c.to))
	}
}

// breakConns closes the connections that are cut or blocked.
func (p *Partition) breakConns() {
	for c := range p.conns {
		if p.isCut(c.from, c.to) {
			_ = c.Conn.Close()
			delete(p.conns, c)
		}
	}
}

// Reachable reports whether a process can reach an address.
func (p *Partition) Reachable(from, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isCut(from, p.owners[address])
}

func (p *Partition) isCut(from, to string) bool {
	return p.cut != nil && (p.cut(from, to) || p.cut(to, from)) || p.block != nil && p.block(from, to)
}

// Dialer returns a dial function for a process.
func (p *Partition) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	return func(ctx context.Context, address string) (net.Conn, error) {
		if !p.Reachable(from, address) {
			return nil, errPartitioned
		}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		tracked := &partitionConn{Conn: conn, network: p, from: from, to: p.owners[address]}
		p.conns[tracked] = struct{}{}
		return tracked, nil
	}
}

// partitionConn is a connection that a cut can break.
type partitionConn struct {
	net.Conn
	network  *Partition
	from, to string
}

// Write implements net.Conn.
func (c *partitionConn) Write(p []byte) (int, error) {
	c.network.pause(c)
	return c.Conn.Write(p)
}

// Read implements net.Conn. The other side's writes are delayed here, since its
// end of the connection is not tracked.
func (c *partitionConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.pause(c)
	return n, err
}

// Close implements net.Conn.
func (c *partitionConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
