// Package replica runs one member of a replicated log: it drives a consensus
// node with the clock, persists its state, exchanges messages with the other
// members, applies committed entries to a state machine and forwards commands
// to the leader.
package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/internal/boottime"
	"github.com/bluebellfield/bluebellfield/internal/storage"
)

// StateMachine is the replicated state. All its methods are called from one
// goroutine; the implementation must synchronize with readers on others.
type StateMachine interface {
	// Apply executes a committed command and must be deterministic. Indexes
	// increase but are not contiguous.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the complete encoded state. It delays heartbeats while it
	// runs; a machine with a large state should implement Capturer.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(data []byte) error
}

// Capturer is implemented by a state machine that can quickly capture an
// immutable view of its state. The returned function encodes the view and is
// called on another goroutine.
type Capturer interface {
	Capture() func() ([]byte, error)
}

// Transport sends messages to other replicas of a log. Send must not block and
// may drop messages.
type Transport interface {
	Send(to, log string, message []byte)
}

// ForwardFunc delivers a request to HandleForward of the same log on another
// instance and returns its response. It returns an error that wraps
// ErrNotProposed only if the request did not reach the instance.
type ForwardFunc func(ctx context.Context, leader, log string, request []byte) ([]byte, error)

// Options configures a Replica. Zero limits get the defaults.
type Options struct {
	// Log is the name of the log, ID that of this instance.
	Log, ID string
	// Dir is the data directory, shared by the logs of a process. Without it,
	// the replica keeps its state in memory and can only be a learner.
	Dir *storage.Dir
	// Voters are the initial voters. They are used only until the log exists;
	// later changes require ProposeVoterChange.
	Voters []string
	// Contacts returns the instances, in addition to Voters, to which a replica
	// that is not a member reports its storage id. It is called on the replica's
	// goroutine.
	Contacts  func() []string
	Transport Transport
	Machine   StateMachine
	Forward   ForwardFunc
	Logger    *zap.Logger

	ElectionTimeout, HeartbeatInterval time.Duration
	MaxClockDrift                      float64
	// SyncCommit syncs the commit index before entries are applied. Entries that
	// were applied here are then applied again after a restart even without a
	// leader, at the cost of one more sync for each batch.
	SyncCommit bool
	// SnapshotEntries and SnapshotBytes limit the log since the last snapshot.
	SnapshotEntries, SnapshotBytes int
	// LeaderWait is the time for which a command waits for a leader.
	LeaderWait time.Duration
	// Clock measures leases and votes, which the clocks of other members limit too.
	// It must count the time in which the machine is suspended. The default is
	// boottime.Now.
	Clock func() time.Time
	// OnApplied is called on the replica's goroutine after entries have been
	// applied. It must return quickly.
	OnApplied func(index uint64)
}

// Defaults of Options.
const (
	DefaultSnapshotEntries = 10_000
	DefaultSnapshotBytes   = 4 << 20
	DefaultLeaderWait      = 2 * time.Second
)

const (
	// maxQueuedMessages and maxQueuedBytes bound the memory of a replica that is
	// slower than its peers. Dropped messages are sent again.
	maxQueuedMessages = 4096
	maxQueuedBytes    = 16 << 20
	maxQueuedRequests = 16384
	// maxForwardDuration limits a forwarded request whose caller set no deadline.
	maxForwardDuration = 10 * time.Second
	// retainedEntries and retainedBytes limit the entries that are kept in memory
	// after a snapshot for members that lag slightly behind.
	retainedEntries = 2000
	retainedBytes   = 2 << 20
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
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = consensus.DefaultHeartbeatInterval
	}
	o.Voters = slices.Compact(slices.Sorted(slices.Values(o.Voters)))
	o.Logger = o.Logger.With(zap.String("log", o.Log))
	return o
}

// Status is the state of a replica.
type Status struct {
	consensus.Status
	// StorageError is the failure because of which this replica does not vote.
	StorageError error
	// NonMembers lists the instances that have recently reported a storage id
	// with which they are not members, sorted by instance.
	NonMembers []consensus.NodeID
}

// IsLeader reports whether this replica is the leader.
func (s Status) IsLeader() bool { return s.Role == consensus.Leader }

// Replica is one member of a replicated log. Its methods are safe for
// concurrent use.
type Replica struct {
	opts Options
	id   consensus.NodeID
	cfg  consensus.Config

	mu         sync.Mutex
	inbox      []inbound
	inboxBytes int
	requests   []request
	closed     bool
	wakeups    chan struct{}
	done       chan struct{}
	status     atomic.Pointer[Status]
	applied    atomic.Uint64
	changed    notifier

	// The fields below are accessed only by the goroutine of run.
	node             *consensus.Node
	store            *storage.Log
	storageErr       error
	nextRecovery     time.Time // zero while storage works or cannot recover
	hardState        consensus.HardState
	hardStateUnsaved bool
	restoreFailed    bool
	pending          map[uint64][]*proposal // by index
	reads            map[consensus.ReadID]*barrier
	waitingBarriers  []*barrier
	nonMembers       map[string]nonMember // by instance
	uninitialized    map[string]uint64    // storage ids of instances that reported to have no log
	nextHello        time.Time
	snapshots        snapshotState
	download         *snapshotDownload
	upload           *snapshotUpload
	closeErr         error
}

// nonMember is the last report of an instance that is not a member.
type nonMember struct {
	storage    uint64
	reportedAt time.Time
}

// inbound is a received message that is not decoded yet.
type inbound struct {
	from string
	data []byte
}

// request is a function that runs on the replica's goroutine. It is called with
// closing set if the replica is closed before the request was handled.
type request func(now time.Time, closing bool)

// Errors of a replica.
var (
	// ErrNotProposed guarantees that a command never takes effect.
	ErrNotProposed = errors.New("the command was not proposed")
	// ErrUnknownResult means that a command may or may not take effect.
	ErrUnknownResult = errors.New("the result of the command is unknown")
	// ErrClosed means that the replica was closed.
	ErrClosed = errors.New("the replica is closed")
	// ErrNotLeader rejects a request that only the leader serves.
	ErrNotLeader = errors.New("this replica is not the leader")
)

// Open starts a replica. If its storage fails, the replica still starts, but
// replicates the log in memory without voting until the storage works again;
// Status reports the failure.
func Open(o Options) (*Replica, error) {
	o = o.withDefaults()
	if o.Log == "" || o.ID == "" || o.Machine == nil || o.Transport == nil {
		return nil, errors.New("options Log, ID, Machine and Transport are required")
	}
	r := &Replica{opts: o, wakeups: make(chan struct{}, 1), done: make(chan struct{}),
		pending: map[uint64][]*proposal{}, reads: map[consensus.ReadID]*barrier{},
		nonMembers: map[string]nonMember{}, uninitialized: map[string]uint64{}}
	r.changed.init()
	st, err := r.openStorage()
	if err != nil {
		return nil, err
	}
	now := r.opts.Clock()
	r.node, err = consensus.New(r.cfg, st, now)
	if err != nil {
		return nil, err
	}
	r.hardState = st.Hard
	r.publishStatus()
	go r.run()
	return r, nil
}

// openStorage opens the stored log, restores the state machine from the latest
// snapshot and configures the node.
func (r *Replica) openStorage() (consensus.Persisted, error) {
	var st consensus.Persisted
	seed, err := randomUint64()
	if err != nil {
		return st, err
	}
	r.id = consensus.NodeID{Instance: r.opts.ID}
	if r.opts.Dir != nil {
		r.store, st, r.storageErr = r.opts.Dir.OpenLog(r.opts.Log, storage.LogOptions{})
		r.id.Storage = r.store.StorageID()
	}
	if r.storageErr != nil {
		r.scheduleRecovery(r.opts.Clock())
		r.opts.Logger.Error("log storage failed; this instance does not vote", zap.Error(r.storageErr))
	}
	if r.id.Storage == 0 {
		if r.id.Storage, err = randomUint64(); err != nil {
			return st, err
		}
	}
	r.cfg = consensus.Config{ID: r.id, ElectionTimeout: r.opts.ElectionTimeout, HeartbeatInterval: r.opts.HeartbeatInterval,
		MaxClockDrift: r.opts.MaxClockDrift, Volatile: r.store == nil || r.storageErr != nil, Seed: int64(seed)}
	return st, r.restoreFromDisk(st)
}

// restoreFromDisk restores the state machine from the stored snapshot if the
// state machine lacks entries that the snapshot covers.
func (r *Replica) restoreFromDisk(st consensus.Persisted) error {
	if st.Snapshot.Index <= r.applied.Load() {
		return nil
	}
	snapshot, err := r.store.LoadSnapshot()
	if err != nil {
		return err
	}
	r.snapshots.lastSize = len(snapshot.Data)
	r.applied.Store(snapshot.Meta.Index)
	return r.opts.Machine.Restore(snapshot.Data)
}

func randomUint64() (uint64, error) {
	var b [8]byte
	_, err := rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]), err
}

// ID returns the id of this member. It changes only if the storage could not be
// opened at the start and works later.
func (r *Replica) ID() consensus.NodeID { return r.Status().ID }

// Status returns the state as of the last iteration of the replica's loop.
func (r *Replica) Status() Status { return *r.status.Load() }

// Now returns the time on the clock by which Status gives times.
func (r *Replica) Now() time.Time { return r.opts.Clock() }

// Applied returns the index of the last entry applied to the state machine.
func (r *Replica) Applied() uint64 { return r.applied.Load() }

// Watch returns a channel that is closed at the next change of the applied
// index, the leader or the role. To miss no change, call Watch before reading
// Applied or Status.
func (r *Replica) Watch() <-chan struct{} { return r.changed.wait() }

// Receive queues a message from another replica of this log. It never blocks
// and drops the message if the queue is full.
func (r *Replica) Receive(from string, message []byte) {
	r.mu.Lock()
	if !r.closed && len(r.inbox) < maxQueuedMessages && r.inboxBytes < maxQueuedBytes {
		r.inbox = append(r.inbox, inbound{from, message})
		r.inboxBytes += len(message)
	}
	r.mu.Unlock()
	r.wakeUp()
}

// submit queues a request for the replica's goroutine. It returns false if the
// replica is closed or the queue is full.
func (r *Replica) submit(f request) bool { return r.enqueue(f, maxQueuedRequests) }

// submitResult queues the result of work that the replica itself started, which must
// not be lost: no snapshot is taken, and failed storage is not used again, while
// the replica waits for it.
func (r *Replica) submitResult(f request) { r.enqueue(f, math.MaxInt) }

func (r *Replica) enqueue(f request, limit int) bool {
	r.mu.Lock()
	ok := !r.closed && len(r.requests) < limit
	if ok {
		r.requests = append(r.requests, f)
	}
	r.mu.Unlock()
	if ok {
		r.wakeUp()
	}
	return ok
}

func (r *Replica) wakeUp() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}

// Close stops the replica. Commands that wait for their commit fail with
// ErrUnknownResult.
func (r *Replica) Close() error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.wakeUp()
	<-r.done
	return r.closeErr
}

// notifier notifies any number of waiters of the next change.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

func (n *notifier) init() { n.ch = make(chan struct{}) }

func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ch
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ch)
	n.ch = make(chan struct{})
}
