package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/storage"
)

// recordingMachine is a state machine that records the commands it applied.
type recordingMachine struct {
	mu       sync.Mutex
	commands []string
}

func (m *recordingMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(command))
	return []byte(fmt.Sprintf("%s is number %d", command, len(m.commands)))
}

func (m *recordingMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.commands)
}

func (m *recordingMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	return json.Unmarshal(data, &m.commands)
}

func (m *recordingMachine) recorded() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.commands...)
}

// network delivers messages in memory and drops those from and to instances
// that are isolated or stopped.
type network struct {
	mu       sync.Mutex
	replicas map[string]*Replica
	isolated map[string]bool
}

func newNetwork() *network {
	return &network{replicas: map[string]*Replica{}, isolated: map[string]bool{}}
}

// find returns the replica of instance to, or nil if from cannot reach it.
func (n *network) find(from, to string) *Replica {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[from] || n.isolated[to] {
		return nil
	}
	return n.replicas[to]
}

type endpoint struct {
	net  *network
	from string
}

func (e endpoint) Send(to, _ string, message []byte) {
	if r := e.net.find(e.from, to); r != nil {
		r.Receive(e.from, message)
	}
}

func (e endpoint) forward(ctx context.Context, leader, _ string, request []byte) ([]byte, error) {
	r := e.net.find(e.from, leader)
	if r == nil {
		return nil, ErrNotProposed
	}
	return r.HandleForward(ctx, request), nil
}

func (n *network) setIsolated(id string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[id] = isolated
}

// member is a replica with its data directory and state machine.
type member struct {
	*Replica
	machine *recordingMachine
	dir     *storage.Dir
}

// startMember opens a replica in a directory. An empty path means no disk.
func startMember(t testing.TB, n *network, id, path string, fs storage.FS, adjust func(*Options)) *member {
	t.Helper()
	m := &member{machine: &recordingMachine{}}
	o := Options{Log: "global", ID: id, Voters: []string{"a", "b", "c"}, Transport: endpoint{n, id},
		Forward: endpoint{n, id}.forward, Machine: m.machine, LeaderWait: time.Minute}
	var err error
	if path != "" {
		m.dir, err = storage.OpenDir(fs, path)
		require.NoError(t, err)
		o.Dir = m.dir
	}
	if adjust != nil {
		adjust(&o)
	}
	m.Replica, err = Open(o)
	require.NoError(t, err)
	n.mu.Lock()
	n.replicas[id] = m.Replica
	n.mu.Unlock()
	t.Cleanup(func() { m.stop(n) })
	return m
}

func (m *member) stop(n *network) {
	n.mu.Lock()
	if n.replicas[m.opts.ID] == m.Replica {
		delete(n.replicas, m.opts.ID)
	}
	n.mu.Unlock()
	_ = m.Replica.Close()
	if m.dir != nil {
		_ = m.dir.Close()
		m.dir = nil
	}
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func soleVoter(o *Options) { o.Voters = []string{o.ID} }

// Guards against a sole voter that cannot create its log, loses acknowledged
// commands at a restart, or returns the result of another command.
func TestSoleVoterKeepsItsLogAcrossARestart(t *testing.T) {
	t.Parallel()
	n, path, ctx := newNetwork(), t.TempDir(), testContext(t)
	applied := make(chan uint64, 100)
	m := startMember(t, n, "a", path, storage.OS{}, func(o *Options) {
		soleVoter(o)
		o.OnApplied = func(index uint64) { applied <- index }
	})
	result, err := m.Propose(ctx, []byte("one"))
	require.NoError(t, err)
	require.Equal(t, "one is number 1", string(result))
	for <-applied < 3 { // 1 is the initial snapshot, 2 the no-op entry, 3 the command
	}
	require.Eventually(t, func() bool {
		held, err := m.LeaseHeld(ctx)
		return err == nil && held
	}, time.Minute, time.Millisecond)
	m.stop(n)

	m = startMember(t, n, "a", path, storage.OS{}, soleVoter)
	require.NoError(t, m.Barrier(ctx))
	require.Equal(t, []string{"one"}, m.machine.recorded())
}
