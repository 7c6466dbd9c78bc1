// Package consensus implements a leader-based replicated log as a pure state
// machine: it reads no clock, opens no file or socket and starts no goroutine.
// The caller passes in the time and received messages, takes an Output from
// Ready, makes it durable, sends its messages, applies its entries and
// confirms this with Advance.
//
// A voter is identified by its instance and the storage id of its data
// directory. An instance that lost its directory gets a new storage id and is
// a different member: messages and votes addressed to the old id are rejected.
package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// NodeID identifies a member of the log. Storage is generated at random when
// the data directory is created, so that an instance whose directory was lost
// becomes a different member.
type NodeID struct {
	Instance string `json:"instance"`
	Storage  uint64 `json:"storage"`
}

// IsZero reports whether the id is unset.
func (id NodeID) IsZero() bool { return id == NodeID{} }

func (id NodeID) String() string { return fmt.Sprintf("%s/%016x", id.Instance, id.Storage) }

// Config configures a Node. Zero fields other than ID, Volatile and Seed are
// replaced by the defaults.
type Config struct {
	ID NodeID
	// ElectionTimeout is the minimum time without contact to a leader after
	// which a voter campaigns. The actual timeout is drawn at random from
	// [ElectionTimeout, 2*ElectionTimeout).
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// MaxClockDrift is the largest relative rate error of any member's clock.
	// Lease reads are linearizable only while every clock stays within it.
	MaxClockDrift float64
	// MaxBatchBytes limits the entry data of one append message.
	MaxBatchBytes int
	// MaxInFlight limits the unacknowledged append messages to one member.
	MaxInFlight int
	// MaxPendingBytes limits the uncommitted entry data on a leader.
	MaxPendingBytes int
	// Volatile marks a member without a working disk. It replicates the log but
	// never votes, and its acknowledgements never count towards a commit.
	Volatile bool
	Seed     int64
}

// Defaults of Config. At one heartbeat every 100 ms, an election starts only
// after at least five consecutive losses. It then completes within about one
// second.
const (
	DefaultElectionTimeout   = 600 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultMaxClockDrift     = 0.001
	DefaultMaxBatchBytes     = 256 << 10
	DefaultMaxInFlight       = 32
	DefaultMaxPendingBytes   = 16 << 20
)

func (c Config) withDefaults() Config {
	c.ElectionTimeout = cmp.Or(c.ElectionTimeout, DefaultElectionTimeout)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.MaxClockDrift = cmp.Or(c.MaxClockDrift, DefaultMaxClockDrift)
	c.MaxBatchBytes = cmp.Or(c.MaxBatchBytes, DefaultMaxBatchBytes)
	c.MaxInFlight = cmp.Or(c.MaxInFlight, DefaultMaxInFlight)
	c.MaxPendingBytes = cmp.Or(c.MaxPendingBytes, DefaultMaxPendingBytes)
	return c
}

// EntryKind identifies the content of an entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota
	// EntryNoOp is the first entry of a leader's term. Committing it also
	// commits the entries of earlier terms.
	EntryNoOp
	// EntryMembers carries, as JSON, the Members that apply from this entry on.
	EntryMembers
)

// Entry is one record of the log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte
}

// HardState is the state that a member must persist across restarts. Commit
// may lag behind: it only lets a restarted member apply entries before it
// hears from a leader.
type HardState struct {
	Term   uint64
	Vote   NodeID
	Commit uint64
}

// Members lists the voters and learners of a log.
type Members struct {
	Voters   []NodeID `json:"voters"`
	Learners []NodeID `json:"learners,omitempty"`
}

// SnapshotMeta describes a snapshot: the last entry it covers and the members
// at that entry.
type SnapshotMeta struct {
	Index, Term uint64
	Members     Members
}

// Snapshot is the state machine's state after entry Meta.Index.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// Persisted is the stored state that a Node starts from. For a new log,
// Snapshot has index 0 and the initial members. A node without members waits
// for a leader to contact it.
type Persisted struct {
	Hard     HardState
	Snapshot SnapshotMeta
	Entries  []Entry
}

// MessageType identifies a message between members.
type MessageType uint8

// Types of messages.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	// MsgAppend carries entries; without entries it serves as a heartbeat.
	MsgAppend
	MsgAppendResponse
	// MsgSnapshot offers a snapshot to install. A node emits it without Data,
	// which the caller adds before delivery.
	MsgSnapshot
	// MsgTimeoutNow asks the target of a leadership transfer to campaign.
	MsgTimeoutNow
	MsgReadIndex
	MsgReadIndexResponse
)

// Message is exchanged between members. Index and LogTerm identify an entry
// that depends on the type: for vote requests the candidate's last entry, for
// MsgAppend the entry before Entries, for MsgAppendResponse the last entry
// known to match or, when Reject is set, the entry to try next.
type Message struct {
	Type     MessageType
	From, To NodeID
	Term     uint64
	Index    uint64
	LogTerm  uint64
	Commit   uint64
	// Round numbers the leader's broadcasts. A response echoes it, which proves
	// that the member was in contact after the round began.
	Round    uint64
	Entries  []Entry
	Reject   bool
	Rejected uint64 // Index of the rejected MsgAppend
	// Force marks the vote request of a leadership transfer, which voters
	// answer despite the leader's lease.
	Force    bool
	Volatile bool
	Read     uint64 // the requester's id of a MsgReadIndex
	Snapshot *Snapshot
}

// ReadID identifies a read started with ReadIndex.
type ReadID uint64

// ReadResult is the outcome of a read: state that includes entry Index is
// current. When OK is false, the caller must start the read again.
type ReadResult struct {
	ID    ReadID
	Index uint64
	OK    bool
}

// Output is the work that the caller must do, in this order: make Hard,
// Snapshot and Entries durable with one sync, send Messages, restore Snapshot,
// apply Committed, complete Reads and call Advance. Appends may be sent at any
// time.
type Output struct {
	// Appends do not depend on state that this Output makes durable. Sending
	// them first lets the leader and its followers sync in parallel.
	Appends []Message
	// Hard must be written when HardChanged is set. When MustSync is set, the
	// writes must be synced before Messages are sent.
	Hard        HardState
	HardChanged bool
	MustSync    bool
	Snapshot    *Snapshot
	// Entries replace all stored entries from the index of the first one on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
}

// Empty reports whether the output contains no work.
func (o *Output) Empty() bool {
	return len(o.Appends) == 0 && !o.HardChanged && o.Snapshot == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Reads) == 0
}

// Role is a member's role in the current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// VoterChangeKind identifies the operation of a VoterChange.
type VoterChangeKind uint8

// Kinds of voter changes.
const (
	// AddLearner adds a member that receives entries and never votes.
	AddLearner VoterChangeKind = iota + 1
	// PromoteLearner makes a caught-up learner a voter.
	PromoteLearner
	// RemoveMember removes a voter or a learner.
	RemoveMember
)

// VoterChange adds, promotes or removes a single member.
type VoterChange struct {
	Kind VoterChangeKind
	Node NodeID
}

// NotLeaderError reports that a node cannot serve a request because it is not
// the leader. Leader is zero when no leader is known.
type NotLeaderError struct{ Leader NodeID }

func (e *NotLeaderError) Error() string {
	if e.Leader.IsZero() {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is %s", e.Leader)
}

// Errors for rejected commands. A rejected command was not appended to the log.
var (
	ErrTransferring    = errors.New("leadership is being transferred")
	ErrOverloaded      = errors.New("the limit of uncommitted bytes is reached")
	ErrChangePending   = errors.New("an earlier voter change is not committed yet")
	ErrNotCaughtUp     = errors.New("the learner has not caught up with the log")
	ErrAlreadyMember   = errors.New("the instance is already a member; remove it first")
	ErrNotMember       = errors.New("the node is not a member")
	ErrRemoveLeader    = errors.New("the leader cannot be removed; transfer leadership first")
	ErrRemoveLastVoter = errors.New("the last voter cannot be removed")
	ErrNotReady        = errors.New("the leader has not committed an entry of its term yet")
)

// Errors for invalid input.
var (
	ErrMisaddressed = errors.New("message is addressed to another member")
	ErrInvalidState = errors.New("persisted entries are not contiguous")
	ErrCompacted    = errors.New("entry is not in the log")
)
