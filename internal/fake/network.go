package fake

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// errPartitioned is returned for connections that Partition or PartitionOneWay
// prevents.
var errPartitioned = errors.New("blocked by a simulated network partition")

// Network simulates network partitions and slow links between processes that
// listen on loopback addresses.
type Network struct {
	mu sync.Mutex
	// processes maps an address to the name of the process that listens on it.
	processes         map[string]string
	partitioned       func(from, to string) bool
	partitionedOneWay func(from, to string) bool
	// writeDelay returns the delay of each write.
	writeDelay func(from, to string) time.Duration
	conns      map[*trackedConn]struct{}
}

// NewNetwork returns a network without partitions or delays.
func NewNetwork() *Network {
	return &Network{processes: map[string]string{}, conns: map[*trackedConn]struct{}{}}
}

// Register records which process listens on an address.
func (n *Network) Register(address, process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes[address] = process
}

// Partition partitions each pair of processes for which the function returns true
// in either order, and closes their connections. Nil ends all partitions.
func (n *Network) Partition(partitioned func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
	n.closeUnreachable()
}

// PartitionOneWay prevents one process from connecting to another if the function
// returns true, and closes the connections that it opened. Connections that the
// other process opens are not affected. Nil ends all one-way partitions.
func (n *Network) PartitionOneWay(partitioned func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitionedOneWay = partitioned
	n.closeUnreachable()
}

// SetDelay delays each write of a connection, in either direction, by the duration
// that the function returns. Nil removes the delay.
func (n *Network) SetDelay(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writeDelay = delay
}

// delay sleeps for the write delay of a connection.
func (n *Network) delay(c *trackedConn) {
	n.mu.Lock()
	writeDelay := n.writeDelay
	n.mu.Unlock()
	if writeDelay != nil {
		time.Sleep(writeDelay(c.from, c.to))
	}
}

// closeUnreachable closes the connections that Partition or PartitionOneWay now
// prevents. n.mu must be held.
func (n *Network) closeUnreachable() {
	for c := range n.conns {
		if n.isUnreachable(c.from, c.to) {
			_ = c.Conn.Close()
			delete(n.conns, c)
		}
	}
}

// Reachable reports whether a process can connect to an address.
func (n *Network) Reachable(from, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isUnreachable(from, n.processes[address])
}

// isUnreachable reports whether Partition or PartitionOneWay prevents connections
// from one process to another. n.mu must be held.
func (n *Network) isUnreachable(from, to string) bool {
	return n.partitioned != nil && (n.partitioned(from, to) || n.partitioned(to, from)) || n.partitionedOneWay != nil && n.partitionedOneWay(from, to)
}

// Dialer returns a dial function for the connections of a process.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	return func(ctx context.Context, address string) (net.Conn, error) {
		if !n.Reachable(from, address) {
			return nil, errPartitioned
		}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		tracked := &trackedConn{Conn: conn, network: n, from: from, to: n.processes[address]}
		n.conns[tracked] = struct{}{}
		return tracked, nil
	}
}

// trackedConn is a connection that Partition and PartitionOneWay can close.
type trackedConn struct {
	net.Conn
	network  *Network
	from, to string
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.network.delay(c)
	return c.Conn.Write(p)
}

// Read implements net.Conn. It delays the data that the peer wrote, because the
// peer's end of the connection is not tracked.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.delay(c)
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
