// Package consensus is a leader-based replicated log as a pure state machine:
// it reads no clock, opens no file or socket and starts no goroutine. The
// caller passes the time and messages in, takes an Output with Ready, makes it
// durable, sends its messages, applies its entries and reports that with
// Advance.
//
// A voter is an instance together with the storage id of its data directory.
// An instance that lost its directory has a new storage id and is therefore
// not the former voter: messages and votes addressed to that one are refused.
package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// NodeID names a member of the log. Storage is drawn at random when a data
// directory is created, so that a lost directory is a different member.
type NodeID struct {
	Instance string `json:"instance"`
	Storage  uint64 `json:"storage"`
}

// IsZero reports whether the id names no member.
func (id NodeID) IsZero() bool { return id == NodeID{} }

func (id NodeID) String() string { return fmt.Sprintf("%s/%016x", id.Instance, id.Storage) }

// Config sets up a Node. Zero fields other than ID get the defaults.
type Config struct {
	ID NodeID
	// ElectionTimeout is the time without contact after which a voter may
	// campaign; the actual time is drawn from [ElectionTimeout, 2 ElectionTimeout).
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// MaxClockDrift bounds the rate error of a member's clock as a fraction.
	// Lease reads are correct only while every clock keeps to it.
	MaxClockDrift float64
	MaxBatchBytes int
	// MaxInFlight is the number of append messages sent ahead of the
	// acknowledgements of one member.
	MaxInFlight int
	// MaxPendingBytes limits the entries that a leader holds uncommitted.
	MaxPendingBytes int
	// Volatile marks a member without a working disk. It follows the log but
	// never votes, and its acknowledgements never count towards a commit.
	Volatile bool
	Seed     int64
}

// Defaults of Config. A heartbeat every 100 ms leaves five losses before an
// election starts; an election then completes within about a second.
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

// EntryKind tells what an entry carries.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota
	// EntryEmpty is the first entry of a leader's term. Its commit also commits
	// the entries of earlier terms.
	EntryEmpty
	// EntryMembers carries the Members in force from this entry on, as JSON.
	EntryMembers
)

// Entry is one position of the log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte
}

// HardState is what a member must not forget. Commit may lag behind: it only
// saves a restarted member from waiting for a leader.
type HardState struct {
	Term   uint64
	Vote   NodeID
	Commit uint64
}

// Members lists who takes part in a log.
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

// Snapshot is a state machine's state after the entry Meta.Index.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// Persisted is what a Node starts from. For a new log, Snapshot has index 0
// and the initial members. A node without members waits for a leader.
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
	// MsgAppend carries entries; without entries it is the heartbeat.
	MsgAppend
	MsgAppendResponse
	// MsgSnapshot names the snapshot to install. A node emits it without Data,
	// which the caller adds before it is delivered.
	MsgSnapshot
	// MsgTimeoutNow asks the target of a leadership transfer to campaign.
	MsgTimeoutNow
	MsgReadIndex
	MsgReadIndexResponse
)

// Message is exchanged between members. The meaning of Index and LogTerm
// depends on the type: for votes the candidate's last entry, for MsgAppend the
// entry before Entries, for MsgAppendResponse the last entry that is known to
// match (or, when Reject is set, the entry to try next).
type Message struct {
	Type     MessageType
	From, To NodeID
	Term     uint64
	Index    uint64
	LogTerm  uint64
	Commit   uint64
	// Round numbers the leader's broadcasts; a response echoes it, which proves
	// contact after the round began.
	Round    uint64
	Entries  []Entry
	Reject   bool
	Rejected uint64 // the Index of the refused MsgAppend
	// Force marks the vote request of a leadership transfer, which does not
	// respect the leader's lease.
	Force    bool
	Volatile bool
	Read     uint64
	Snapshot *Snapshot
}

// ReadID identifies a read started with ReadIndex.
type ReadID uint64

// ReadResult completes a read: state that includes entry Index is current. OK
// is false when the read must be started again.
type ReadResult struct {
	ID    ReadID
	Index uint64
	OK    bool
}

// Output is work for the caller, in this order: send Appends (at any time),
// make Hard, Snapshot and Entries durable with one sync, send Messages, restore
// Snapshot, apply Committed, complete Reads, call Advance.
type Output struct {
	// Appends depend on no state that this Output makes durable, so that a
	// leader's disk and its followers' disks work at the same time.
	Appends []Message
	// Hard is written when HardChanged is set and must be synced before
	// Messages are sent when MustSync is set.
	Hard        HardState
	HardChanged bool
	MustSync    bool
	Snapshot    *Snapshot
	// Entries replace everything stored from the first one's index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
}

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return len(o.Appends) == 0 && !o.HardChanged && o.Snapshot == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Reads) == 0
}

// Role is a member's part in the current term.
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

// VoterChangeKind says what a VoterChange does.
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

// VoterChange alters the members by one.
type VoterChange struct {
	Kind VoterChangeKind
	Node NodeID
}

// NotLeaderError reports that a node cannot accept a command. Leader is zero
// when none is known.
type NotLeaderError struct{ Leader NodeID }

func (e *NotLeaderError) Error() string {
	if e.Leader.IsZero() {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is %s", e.Leader)
}

// Errors that refuse a command. The command has not entered the log.
var (
	ErrTransferring    = errors.New("leadership is being transferred")
	ErrOverloaded      = errors.New("too many bytes wait to be committed")
	ErrChangePending   = errors.New("an earlier voter change is not committed yet")
	ErrNotCaughtUp     = errors.New("the learner has not caught up with the log")
	ErrAlreadyMember   = errors.New("the instance is already a member; remove it first")
	ErrNotMember       = errors.New("the node is not a member")
	ErrRemoveLeader    = errors.New("the leader cannot be removed; transfer leadership first")
	ErrRemoveLastVoter = errors.New("the last voter cannot be removed")
	ErrNotReady        = errors.New("the leader has not committed an entry of its term yet")
)

// Errors for input that a node cannot use.
var (
	ErrMisaddressed = errors.New("message for another member")
	ErrInvalidState = errors.New("persisted state is not contiguous")
	ErrCompacted    = errors.New("entry is not in the log")
)
