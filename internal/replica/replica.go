// Package replica runs one member of a replicated log: it drives a consensus
// node with a clock, stores its state, exchanges its messages, applies its
// entries to a state machine and forwards commands to the leader.
package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/internal/storage"
)

// StateMachine is the replicated state. All calls come from one goroutine;
// readers on other goroutines need the machine's own synchronisation.
type StateMachine interface {
	// Apply executes a committed command and must be deterministic. Indexes
	// increase but have gaps.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state. It delays heartbeats while it runs; a
	// machine with a large state implements Capturer.
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Capturer is implemented by a state machine that can capture an immutable
// view quickly. The returned function encodes it on another goroutine.
type Capturer interface {
	Capture() func() ([]byte, error)
}

// Transport sends messages to other replicas of a log. Send never blocks and
// may drop the message.
type Transport interface {
	Send(to, log string, message []byte)
}

// ForwardFunc delivers a request to HandleForward of the same log on another
// instance and returns its answer. An error that wraps ErrNotProposed proves
// that the request did not reach the instance.
type ForwardFunc func(ctx context.Context, leader, log string, request []byte) ([]byte, error)

// Options configures a Replica. Zero limits get the defaults.
type Options struct {
	// Log names the log, ID this instance.
	Log, ID string
	// Dir is the data directory, shared by the logs of a process. Without one
	// the replica keeps everything in memory and can only be a learner.
	Dir *storage.Dir
	// Voters names the instances that create the log. They are used only until
	// the log exists; later changes go through ProposeVoterChange.
	Voters []string
	// Contacts lists instances that an instance outside the log reports itself
	// to, besides Voters. It is called on the replica's goroutine.
	Contacts  func() []string
	Transport Transport
	Machine   StateMachine
	Forward   ForwardFunc
	Logger    *zap.Logger

	ElectionTimeout, HeartbeatInterval time.Duration
	MaxClockDrift                      float64
	// SyncCommit syncs the commit index before entries are applied, so that
	// what was once applied here is applied again after a restart even without
	// a leader. It costs one more sync for each batch.
	SyncCommit bool
	// SnapshotEntries and SnapshotBytes limit the log since the last snapshot.
	SnapshotEntries, SnapshotBytes int
	// LeaderWait is how long a command waits for a leader to be elected.
	LeaderWait time.Duration
	// OnApplied is called after entries were applied, on the replica's
	// goroutine; it must return quickly.
	OnApplied func(index uint64)
}

// Defaults of Options.
const (
	DefaultSnapshotEntries = 10_000
	DefaultSnapshotBytes   = 4 << 20
	DefaultLeaderWait      = 2 * time.Second
)

const (
	// maxQueuedMessages bounds the memory of a replica that is slower than its
	// peers; what is dropped is sent again.
	maxQueuedMessages = 4096
	maxQueuedBytes    = 16 << 20
	maxQueuedRequests = 16384
	// maxForward ends a forwarded request whose caller set no limit.
	maxForward = 10 * time.Second
	// keepEntries and keepBytes bound the entries kept in memory after a
	// snapshot for members that are a little behind.
	keepEntries = 2000
	keepBytes   = 2 << 20
)

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.LeaderWait == 0 {
		o.LeaderWait = DefaultLeaderWait
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = consensus.DefaultHeartbeatInterval
	}
	o.Voters = slices.Compact(slices.Sorted(slices.Values(o.Voters)))
	o.Logger = o.Logger.With(zap.String("log", o.Log))
	return o
}

// Status describes a replica.
type Status struct {
	consensus.Status
	// StorageError is the failure that stopped this replica from voting.
	StorageError error
	// Strangers lists instances that have reported a storage id under which
	// they are not members, by instance.
	Strangers []consensus.NodeID
}

// Leads reports whether this replica is the leader.
func (s Status) Leads() bool { return s.Role == consensus.Leader }

// Replica is one member of a replicated log. Its methods are safe for
// concurrent use.
type Replica struct {
	o   Options
	id  consensus.NodeID
	cfg consensus.Config

	mu         sync.Mutex
	inbox      []inbound
	inboxBytes int
	requests   []request
	closed     bool
	wake       chan struct{}
	done       chan struct{}
	status     atomic.Pointer[Status]
	applied    atomic.Uint64
	changed    signal

	// The fields below belong to the goroutine of run.
	node          *consensus.Node
	store         *storage.Log
	storageErr    error
	hard          consensus.HardState
	hardUnsaved   bool
	machineFailed bool
	pending       map[uint64][]*proposal
	reads         map[consensus.ReadID]*barrier
	waiting       []*barrier
	strangers     map[string]stranger
	fresh         map[string]uint64
	helloDue      time.Time
	snapshots     snapshotState
	fetch         *fetch
	sending       *sending
	closeFailures error
}

// stranger is an instance outside the log that has reported its storage id.
type stranger struct {
	storage uint64
	heard   time.Time
}

type inbound struct {
	from string
	data []byte
}

// request is work for the replica's goroutine. It is called with closing set
// when the replica closes before the work was started.
type request func(now time.Time, closing bool)

// Errors of a replica.
var (
	// ErrNotProposed proves that a command did not enter the log and never
	// will.
	ErrNotProposed = errors.New("the command was not proposed")
	// ErrUnknownResult means that a command may or may not take effect.
	ErrUnknownResult = errors.New("the result of the command is unknown")
	// ErrClosed means that the replica was closed.
	ErrClosed = errors.New("the replica is closed")
	// ErrNotLeader refuses a request that only the leader serves.
	ErrNotLeader = errors.New("this replica is not the leader")
)

// Open starts a replica. A storage failure does not prevent it: the replica
// then follows the log in memory without voting, and Status reports why.
func Open(o Options) (*Replica, error) {
	o = o.withDefaults()
	if o.Log == "" || o.ID == "" || o.Machine == nil || o.Transport == nil {
		return nil, errors.New("a replica needs Log, ID, Machine and Transport")
	}
	r := &Replica{o: o, wake: make(chan struct{}, 1), done: make(chan struct{}),
		pending: map[uint64][]*proposal{}, reads: map[consensus.ReadID]*barrier{},
		strangers: map[string]stranger{}, fresh: map[string]uint64{}}
	r.changed.init()
	st, err := r.openStorage()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	r.node, err = consensus.New(r.cfg, st, now)
	if err != nil {
		return nil, err
	}
	r.hard = st.Hard
	r.publish()
	go r.run()
	return r, nil
}

func (r *Replica) openStorage() (consensus.Persisted, error) {
	var st consensus.Persisted
	seed, err := randomUint64()
	if err != nil {
		return st, err
	}
	r.id = consensus.NodeID{Instance: r.o.ID}
	if r.o.Dir != nil {
		r.store, st, r.storageErr = r.o.Dir.OpenLog(r.o.Log, storage.LogOptions{})
		r.id.Storage = r.store.StorageID()
	}
	if r.storageErr != nil {
		r.o.Logger.Error("log storage failed; this instance does not vote", zap.Error(r.storageErr))
	}
	if r.id.Storage == 0 {
		if r.id.Storage, err = randomUint64(); err != nil {
			return st, err
		}
	}
	r.cfg = consensus.Config{ID: r.id, ElectionTimeout: r.o.ElectionTimeout, HeartbeatInterval: r.o.HeartbeatInterval,
		MaxClockDrift: r.o.MaxClockDrift, Volatile: r.store == nil || r.storageErr != nil, Seed: int64(seed)}
	if st.Snapshot.Index == 0 {
		return st, nil
	}
	snapshot, err := r.store.LoadSnapshot()
	if err != nil {
		return st, err
	}
	r.snapshots.size = len(snapshot.Data)
	r.applied.Store(snapshot.Meta.Index)
	return st, r.o.Machine.Restore(snapshot.Data)
}

func randomUint64() (uint64, error) {
	var b [8]byte
	_, err := rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]), err
}

// ID returns the instance and its storage id.
func (r *Replica) ID() consensus.NodeID { return r.id }

// Status returns the state after the last completed work.
func (r *Replica) Status() Status { return *r.status.Load() }

// Applied returns the last entry applied to the state machine.
func (r *Replica) Applied() uint64 { return r.applied.Load() }

// Watch returns a channel that is closed at the next change of the applied
// index, the leader or the role. A follower of the log takes the channel, then
// reads Applied, then waits.
func (r *Replica) Watch() <-chan struct{} { return r.changed.wait() }

// Receive takes a message from another replica of this log. It never blocks.
func (r *Replica) Receive(from string, message []byte) {
	r.mu.Lock()
	if !r.closed && len(r.inbox) < maxQueuedMessages && r.inboxBytes < maxQueuedBytes {
		r.inbox = append(r.inbox, inbound{from, message})
		r.inboxBytes += len(message)
	}
	r.mu.Unlock()
	r.signal()
}

// submit queues work for the replica's goroutine, false when it is closed or
// has too much to do.
func (r *Replica) submit(f request) bool {
	r.mu.Lock()
	ok := !r.closed && len(r.requests) < maxQueuedRequests
	if ok {
		r.requests = append(r.requests, f)
	}
	r.mu.Unlock()
	if ok {
		r.signal()
	}
	return ok
}

func (r *Replica) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Close stops the replica. Commands that wait for their commit end with
// ErrUnknownResult.
func (r *Replica) Close() error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.signal()
	<-r.done
	return r.closeFailures
}

// signal wakes all who wait for the next change.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

func (s *signal) init() { s.ch = make(chan struct{}) }

func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

func (s *signal) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}
