package fake

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// errPartitioned is returned for connections that Cut or Block prevents.
var errPartitioned = errors.New("blocked by a simulated network partition")

// Partition simulates network partitions and slow links between processes that
// listen on loopback addresses.
type Partition struct {
	mu sync.Mutex
	// processes maps an address to the name of the process that listens on it.
	processes   map[string]string
	partitioned func(from, to string) bool
	blocked     func(from, to string) bool
	// writeDelay returns the delay of each write.
	writeDelay func(from, to string) time.Duration
	conns      map[*trackedConn]struct{}
}

// NewPartition returns a network without partitions or delays.
func NewPartition() *Partition {
	return &Partition{processes: map[string]string{}, conns: map[*trackedConn]struct{}{}}
}

// Register records which process listens on an address.
func (p *Partition) Register(address, owner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processes[address] = owner
}

// Cut partitions each pair of processes for which the function returns true in
// either order, and closes their connections. Nil ends all partitions.
func (p *Partition) Cut(cut func(from, to string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = cut
	p.closeUnreachable()
}

// Block prevents one process from connecting to another if the function returns
// true, and closes the connections that it opened. Connections that the other
// process opens are not affected. Nil removes all blocks.
func (p *Partition) Block(block func(from, to string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = block
	p.closeUnreachable()
}

// Slow delays each write of a connection, in either direction, by the duration
// that the function returns. Nil removes the delay.
func (p *Partition) Slow(slow func(from, to string) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeDelay = slow
}

// delay sleeps for the write delay of a connection.
func (p *Partition) delay(c *trackedConn) {
	p.mu.Lock()
	writeDelay := p.writeDelay
	p.mu.Unlock()
	if writeDelay != nil {
		time.Sleep(writeDelay(c.from, c.to))
	}
}

// closeUnreachable closes the connections that Cut or Block now prevents. p.mu must
// be held.
func (p *Partition) closeUnreachable() {
	for c := range p.conns {
		if p.isUnreachable(c.from, c.to) {
			_ = c.Conn.Close()
			delete(p.conns, c)
		}
	}
}

// Reachable reports whether a process can connect to an address.
func (p *Partition) Reachable(from, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isUnreachable(from, p.processes[address])
}

// isUnreachable reports whether Cut or Block prevents connections from one process
// to another. p.mu must be held.
func (p *Partition) isUnreachable(from, to string) bool {
	return p.partitioned != nil && (p.partitioned(from, to) || p.partitioned(to, from)) || p.blocked != nil && p.blocked(from, to)
}

// Dialer returns a dial function for the connections of a process.
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
		tracked := &trackedConn{Conn: conn, partition: p, from: from, to: p.processes[address]}
		p.conns[tracked] = struct{}{}
		return tracked, nil
	}
}

// trackedConn is a connection that Cut and Block can close.
type trackedConn struct {
	net.Conn
	partition *Partition
	from, to  string
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.partition.delay(c)
	return c.Conn.Write(p)
}

// Read implements net.Conn. It delays the data that the peer wrote, because the
// peer's end of the connection is not tracked.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.partition.delay(c)
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.partition.mu.Lock()
	delete(c.partition.conns, c)
	c.partition.mu.Unlock()
	return c.Conn.Close()
}
