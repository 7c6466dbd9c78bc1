// Package settings implements the settings tree of a deployment: its schema,
// validation, inheritance, revision history and idempotent changes.
//
// Store is a deterministic state machine. It reads no clock and starts no
// goroutines: each Change carries its time, and the same changes in the same
// order give the same state on every daemon. Tree is an immutable revision of
// the settings with typed views for request handling.
package settings

import (
	"fmt"
	"time"
)

// OpKind is the kind of an Op.
type OpKind string

// Kinds of Op.
const (
	// OpSet sets a key at a node, and creates the node if it does not exist.
	// Without a key it only creates the node.
	OpSet OpKind = "set"
	// OpReset removes a key from a node, so that the node inherits its value.
	OpReset OpKind = "reset"
	// OpDelete removes a node and all nodes below it.
	OpDelete OpKind = "delete"
)

// Op is one operation of a change.
type Op struct {
	Op    OpKind `json:"op"`
	Path  string `json:"path"`
	Key   string `json:"key,omitempty"`
	Value Value  `json:"value,omitzero"`
}

// String returns the op in the form "set PATH KEY=VALUE".
func (o Op) String() string {
	switch {
	case o.Key == "":
		return fmt.Sprintf("%s %s", o.Op, o.Path)
	case o.Op == OpSet:
		return fmt.Sprintf("%s %s %s=%s", o.Op, o.Path, o.Key, truncate(o.Value.String()))
	}
	return fmt.Sprintf("%s %s %s", o.Op, o.Path, o.Key)
}

// Change is a list of ops that are applied atomically.
type Change struct {
	// ID identifies the change. A change that is resent with the same ID gets
	// its first result.
	ID string `json:"id"`
	// Base is the revision that the change was made against.
	Base   uint64    `json:"base"`
	Author string    `json:"author,omitempty"`
	At     time.Time `json:"at"`
	Ops    []Op      `json:"ops"`
}

// ResultCode is the outcome of a change.
type ResultCode string

// Outcomes of a change.
const (
	Applied ResultCode = "applied"
	// Duplicate means that the change was resent; First holds the code of its
	// first result.
	Duplicate ResultCode = "duplicate"
	// Conflicting means that the settings changed since the base revision.
	Conflicting ResultCode = "conflict"
	Invalid     ResultCode = "invalid"
)

// Result is the result of a change.
type Result struct {
	// Revision is the revision that the change created. For a change that was
	// not applied, it is the newest revision at that time.
	Revision uint64     `json:"revision"`
	Code     ResultCode `json:"code"`
	// First is the code of the first result. It is set only for duplicates.
	First     ResultCode `json:"first,omitempty"`
	Conflicts []Conflict `json:"conflicts,omitempty"`
	// MoreConflicts is the number of conflicts omitted from Conflicts.
	MoreConflicts int       `json:"moreConflicts,omitempty"`
	Errors        []Problem `json:"errors,omitempty"`
}

// Outcome returns the code of the first result, for duplicates as well.
func (r Result) Outcome() ResultCode {
	if r.Code == Duplicate {
		return r.First
	}
	return r.Code
}

// Conflict describes an op that was applied after the base revision of a change.
type Conflict struct {
	Revision uint64    `json:"revision"`
	ID       string    `json:"id"`
	Author   string    `json:"author,omitempty"`
	At       time.Time `json:"at"`
	Path     string    `json:"path"`
	Key      string    `json:"key,omitempty"`
	// Overlaps reports whether the rejected change has an op for the same
	// setting or node.
	Overlaps bool `json:"overlaps"`
}

// ProblemCode classifies a Problem.
type ProblemCode string

// Kinds of Problem.
const (
	BadPath       ProblemCode = "path"
	UnknownKey    ProblemCode = "unknown_key"
	MisplacedKey  ProblemCode = "misplaced_key"
	BadValue      ProblemCode = "value"
	BadOp         ProblemCode = "op"
	NodeNotFound  ProblemCode = "no_node"
	BadReference  ProblemCode = "reference"
	Cycle         ProblemCode = "cycle"
	ExceedsLimit  ProblemCode = "limit"
	Contradiction ProblemCode = "contradiction"
	BadChange     ProblemCode = "change"
)

// Problem is a validation error: the setting that it concerns, why it was
// rejected and what is accepted instead.
type Problem struct {
	Code     ProblemCode `json:"code"`
	Path     string      `json:"path,omitempty"`
	Key      string      `json:"key,omitempty"`
	Message  string      `json:"message"`
	Accepted string      `json:"accepted"`
}

// Error implements error.
func (p Problem) Error() string {
	at := p.Path
	if p.Key != "" {
		at += " " + p.Key
	}
	if at != "" {
		at += ": "
	}
	return fmt.Sprintf("%s%s, accepted: %s", at, p.Message, p.Accepted)
}

// Record is an accepted change with the ops that revert it.
type Record struct {
	Revision uint64    `json:"revision"`
	ID       string    `json:"id"`
	Author   string    `json:"author,omitempty"`
	At       time.Time `json:"at"`
	Ops      []Op      `json:"ops"`
	Undo     []Op      `json:"undo"`
}
