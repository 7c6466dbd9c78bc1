// Package claim records the idempotency keys of requests that must run at most
// once. An entry commits a claim before it dispatches such a request. If the
// request is sent again through any entry, that entry finds the claim and does
// not run the request a second time.
//
// Machine is a deterministic state machine that is replicated by the global
// log. It has no clock and no goroutines: each command contains its time.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Limits of the machine.
const (
	// MaxAnswerBytes is the maximum size of a stored answer, including headers.
	// A larger answer is stored without its body.
	MaxAnswerBytes = 64 << 10
	// MaxHeaderBytes is the maximum size of the headers of a stored answer.
	// If they are larger, neither headers nor body are stored.
	MaxHeaderBytes = 16 << 10
	// MaxKeyAge is the maximum age of a key that encodes its creation time and
	// has no record. An older key is rejected.
	MaxKeyAge = 24 * time.Hour
	// MaxLiveRecords is the maximum number of records of all accounts, excluding
	// tombstones. A record takes up to 360 bytes of heap, a tombstone 120.
	MaxLiveRecords = 100_000
	// MaxRecords is the maximum number of records of all accounts, including
	// tombstones.
	MaxRecords = 200_000
	// MaxStoredBytes is the maximum total size of the stored answers of all
	// accounts.
	MaxStoredBytes = 16 << 20
	// MaxCommandAge is how far the time of a Claim command may be behind the
	// machine's clock. An older command is rejected, because it may arrive
	// after its own release, which may no longer be remembered.
	MaxCommandAge = 10 * time.Minute
	// maxClockStep is the most that one Expire advances the machine's clock, so
	// that a leader with a wrong clock cannot expire all records at once. With
	// one Expire every ExpirePeriod the clock runs at most three times as fast as
	// real time.
	maxClockStep = 3 * ExpirePeriod
	// ExpirePeriod is the interval at which the leader sends Expire.
	ExpirePeriod = 10 * time.Second
	// releaseRetention is how long a released claim is remembered. It covers
	// MaxCommandAge plus an entry whose clock is ahead by the same amount.
	releaseRetention = 2 * MaxCommandAge
	// maxReleasedClaims is the maximum number of remembered released claims.
	maxReleasedClaims = 100_000
	// fenceRetention is how long an entry's oldest valid incarnation is
	// remembered after its last Abandon.
	fenceRetention = 24 * time.Hour
	// deadlineGrace is the time between the deadline of a running claim and the
	// change of its outcome to unknown. It leaves time for a late Complete.
	deadlineGrace = time.Minute
	// maxRunTime is the maximum time from a claim to its deadline.
	maxRunTime = 25 * time.Hour
	// maxClockAdvance is the most that the time of a command other than Expire
	// may be ahead of the machine's clock; a later time is reduced to this. The
	// machine's clock falls behind during an outage of the log.
	maxClockAdvance = 24 * time.Hour
	// maxNameLength is the maximum length of account, entry and request ids.
	maxNameLength = 64
)

// Key is the hash of an account, a route and an idempotency key.
type Key [32]byte

// HashKey returns the Key for an account, a route and the caller's idempotency
// key.
func HashKey(account, route, key string) Key {
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{account, route, key} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return Key(h.Sum(nil))
}

// Holder identifies the request that makes a claim, and the incarnation of the
// entry that serves it. A request id must not be used for a second claim.
type Holder struct {
	Entry       string
	Incarnation uint64
	Request     string
}

// Limits are the retention and storage limits of an account.
type Limits struct {
	// Answers is how long answers are kept; Tombstones is how long a key is
	// remembered after that.
	Answers    time.Duration
	Tombstones time.Duration
	// MaxRecords is the maximum number of records, including tombstones.
	MaxRecords     int64
	MaxStoredBytes int64
}

// DefaultLimits returns the default limits of the settings schema.
func DefaultLimits() Limits {
	return Limits{Answers: 24 * time.Hour, Tombstones: 30 * 24 * time.Hour, MaxRecords: 50_000, MaxStoredBytes: 4 << 20}
}

// Command is one of Claim, Complete, Release, Abandon and Expire.
type Command interface{ kind() kind }

// Claim asks for the right to dispatch a request.
type Claim struct {
	Key     Key
	Account string
	// Body is the digest of the request's body.
	Body   [32]byte
	Holder Holder
	// KeyTime is the creation time that the key encodes, as returned by the
	// function KeyTime; zero if there is none.
	KeyTime time.Time
	// Deadline is the latest time at which the request ends.
	Deadline time.Time
	At       time.Time
}

// Complete records how a claimed request ended.
type Complete struct {
	Key    Key
	Holder Holder
	// Lost means that the outcome is unknown; Answer is ignored then.
	Lost   bool
	Answer Answer
	At     time.Time
}

// Release frees a key whose request cannot have reached an upstream. It is also
// sent if the result of Claim is not known.
type Release struct {
	Key    Key
	Holder Holder
	At     time.Time
}

// Abandon marks the running claims of earlier incarnations of an entry as
// unknown.
type Abandon struct {
	Entry string
	// Before is the first incarnation that is not abandoned.
	Before uint64
	At     time.Time
}

// Expire advances the machine's clock, which determines when records expire. The
// leader sends it every ExpirePeriod.
type Expire struct{ At time.Time }

// Field is a header field of an answer.
type Field struct{ Name, Value string }

// Answer is the stored response that is sent to repeated requests.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
	// BodyOmitted means that the request was executed but the body of the answer
	// was not stored.
	BodyOmitted bool
}

func (a *Answer) headerSize() int {
	size := 0
	for _, f := range a.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

// size returns the number of bytes that the answer adds to the stored bytes.
func (a *Answer) size() int64 { return int64(a.headerSize() + len(a.Body)) }

// State is the state of a key that has a record.
type State uint8

// States of a key.
const (
	StateRunning State = iota + 1
	StateDone
	// StateUnknown means that the outcome is unknown.
	StateUnknown
	// StateTombstone means that the key was used and its answer has expired.
	StateTombstone
)

var stateNames = map[State]string{
	StateRunning: "running", StateDone: "done", StateUnknown: "unknown", StateTombstone: "tombstone",
}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Code is the outcome of a command.
type Code uint8

// Outcomes of commands.
const (
	// Granted allows the holder to dispatch its request.
	Granted Code = iota + 1
	// Running means that another request holds the key.
	Running
	// Done means that the request was executed; Result.Answer is set.
	Done
	// Unknown means that the outcome of the request is unknown.
	Unknown
	// KeyUsed means that the request was, or may have been, executed and its
	// answer has expired.
	KeyUsed
	// BodyConflict means that the key was used with a different body.
	BodyConflict
	// KeyExpired means that the key is so old that its record may have been
	// deleted.
	KeyExpired
	// AccountFull and Full mean that the maximum number of records is reached,
	// for the account or in total. Full is also the outcome of Release if too
	// many released claims are remembered.
	AccountFull
	Full
	// Late means that the command is too old to be decided safely.
	Late
	// Fenced means that the holder has released the claim, or that its entry
	// has abandoned the incarnation.
	Fenced
	// Completed and Released confirm these commands, also repeated ones.
	Completed
	Released
	// NotHolder means that the key is not held by this holder.
	NotHolder
	// NotReleasable means that the holder's request has been completed.
	NotReleasable
	// Abandoned and Expired confirm these commands; Result.Count is the number
	// of changed records.
	Abandoned
	Expired
	// Malformed means that a field is missing or too long.
	Malformed
)

var codeNames = map[Code]string{
	Granted: "granted", Running: "running", Done: "done", Unknown: "unknown", KeyUsed: "key_used",
	BodyConflict: "body_conflict", KeyExpired: "key_expired", AccountFull: "account_full", Full: "full",
	Late: "late", Fenced: "fenced", Completed: "completed", Released: "released", NotHolder: "not_holder",
	NotReleasable: "not_releasable", Abandoned: "abandoned", Expired: "expired", Malformed: "malformed",
}

// String returns the name of the code.
func (c Code) String() string { return codeNames[c] }

// Result is the result of a command.
type Result struct {
	Code Code
	// Holder is the current holder of the key, for Running and Granted.
	Holder Holder
	// Deadline is the latest time at which the running request ends.
	Deadline time.Time
	// Answer is set for Done.
	Answer *Answer
	// BodyStored is set for Completed if the body of the answer is stored.
	BodyStored bool
	Count      int
}
