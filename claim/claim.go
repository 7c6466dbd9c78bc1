// Package claim records the idempotency keys of requests that must run at most
// once. An entry commits a claim before it dispatches such a request; a resend
// through any entry finds the claim and never runs the request again.
//
// Machine is a deterministic state machine on the global log. It reads no
// clock and starts no goroutine: the time stands in each command.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Bounds of the machine.
const (
	// MaxAnswerBytes is the largest answer, headers included, that is stored.
	// A larger one is recorded without its body.
	MaxAnswerBytes = 64 << 10
	// MaxHeaderBytes is the largest size of stored headers.
	MaxHeaderBytes = 16 << 10
	// MaxKeyAge is the age at which a key that encodes its time of creation,
	// and has no record, is refused.
	MaxKeyAge = 24 * time.Hour
	// MaxLive bounds the records of all accounts without tombstones: a record
	// takes up to 360 bytes of heap, a tombstone 120.
	MaxLive = 100_000
	// MaxRecords bounds the records of all accounts with tombstones.
	MaxRecords = 200_000
	// MaxStoredBytes bounds the stored answers of all accounts.
	MaxStoredBytes = 16 << 20
	// MaxLateness is how much older than the machine's clock a claim command
	// may be. A later one may follow its own release.
	MaxLateness = 10 * time.Minute
	// maxStep bounds how far one Expire moves the machine's clock. At one
	// Expire every ExpirePeriod the clock runs at most three times too fast, so
	// that a leader with a wrong clock cannot expire every record at once.
	maxStep = 3 * ExpirePeriod
	// ExpirePeriod is how often the leader sends Expire.
	ExpirePeriod = 10 * time.Second
	// markRetention covers MaxLateness and an entry whose clock is ahead by as
	// much again.
	markRetention = 2 * MaxLateness
	// maxMarks bounds the released claims that are remembered.
	maxMarks = 100_000
	// fenceRetention is how long an entry's oldest valid incarnation is known
	// after its last Abandon.
	fenceRetention = 24 * time.Hour
	// deadlineGrace is how long after its deadline a running claim may still
	// be completed before it counts as unknown.
	deadlineGrace = time.Minute
	// maxRunTime bounds the deadline of a claim.
	maxRunTime = 25 * time.Hour
	// maxAhead bounds how far ahead of the machine's clock the time of another
	// command counts. The machine's clock is behind after an outage of the log.
	maxAhead = 24 * time.Hour
	// maxNameLength bounds accounts, entries and request ids.
	maxNameLength = 64
)

// Key identifies an idempotency key of an account on a route.
type Key [32]byte

// HashKey returns the Key of an account, a route and the caller's key.
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

// Holder is the request that asks for a claim, at one run of an entry. A
// request id is used for one claim only.
type Holder struct {
	Entry       string
	Incarnation uint64
	Request     string
}

// Limits bound what is kept for an account.
type Limits struct {
	Answers    time.Duration
	Tombstones time.Duration
	// MaxRecords counts tombstones too.
	MaxRecords     int64
	MaxStoredBytes int64
}

// DefaultLimits returns the limits that the settings schema has as defaults.
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
	// KeyTime is the time of creation that the key encodes, zero for none. See
	// KeyTime.
	KeyTime time.Time
	// Deadline is when the request ends at the latest.
	Deadline time.Time
	At       time.Time
}

// Complete records how a claimed request ended.
type Complete struct {
	Key    Key
	Holder Holder
	// Lost states that the outcome is unknown; Answer is then not used.
	Lost   bool
	Answer Answer
	At     time.Time
}

// Release frees a key whose request cannot have reached an upstream. It is
// also sent when the result of Claim is not known.
type Release struct {
	Key    Key
	Holder Holder
	At     time.Time
}

// Abandon marks what earlier runs of an entry were running as unknown.
type Abandon struct {
	Entry string
	// Before is the entry's first incarnation that is not abandoned.
	Before uint64
	At     time.Time
}

// Expire moves the machine's clock, by which records expire. The leader sends
// it every ExpirePeriod.
type Expire struct{ At time.Time }

// Field is a header of an answer.
type Field struct{ Name, Value string }

// Answer is the answer that a resend receives.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
	// BodyOmitted states that the request ran and its body was not stored.
	BodyOmitted bool
}

func (a *Answer) headerSize() int {
	size := 0
	for _, f := range a.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

// size is what the answer counts against stored bytes.
func (a *Answer) size() int64 { return int64(a.headerSize() + len(a.Body)) }

// State is the state of a key that has a record.
type State uint8

// States of a key.
const (
	StateRunning State = iota + 1
	StateDone
	// StateUnknown means that the outcome was lost.
	StateUnknown
	// StateTombstone means that the key was used and its answer has expired.
	StateTombstone
)

var stateNames = map[State]string{
	StateRunning: "running", StateDone: "done", StateUnknown: "unknown", StateTombstone: "tombstone",
}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Code is the kind of a result.
type Code uint8

// Kinds of result.
const (
	// Granted permits the holder to dispatch.
	Granted Code = iota + 1
	// Running means that another request holds the key.
	Running
	// Done means that the request ran; the result has its answer.
	Done
	// Unknown means that the outcome of the key's request was lost.
	Unknown
	// KeyUsed means that the request ran, or may have, and its answer expired.
	KeyUsed
	// BodyConflict means that the key was used with another body.
	BodyConflict
	// KeyExpired means that the key is too old to know that it was not used.
	KeyExpired
	// AccountFull and Full mean that no further key can be recorded, for the
	// account or for all.
	AccountFull
	Full
	// Late means that the command is too old to be decided safely.
	Late
	// Fenced means that the holder released the claim, or was abandoned.
	Fenced
	// Completed and Released confirm these commands, also when repeated.
	Completed
	Released
	// NotHolder means that another request holds the key, or none.
	NotHolder
	// NotReleasable means that the holder's request was completed.
	NotReleasable
	// Abandoned and Expired confirm these commands; Count says how many
	// records changed.
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

// Result answers a command.
type Result struct {
	Code Code
	// Holder is who has the key, for Running.
	Holder Holder
	// Deadline is when the running request ends at the latest.
	Deadline time.Time
	// Answer is set for Done.
	Answer *Answer
	// BodyStored is false when Completed stored the answer without its body.
	BodyStored bool
	Count      int
}
