// Package settings holds the settings tree of a deployment: its schema,
// validation, inheritance, revisions and change ids.
//
// Store is a deterministic state machine. It reads no clock and starts no
// goroutine: the time stands in each Change, and the same changes in the same
// order give the same state on every daemon. Tree is an immutable revision of
// the settings with typed views for the serving path.
package settings

import (
	"fmt"
	"time"
)

// OpKind is what an Op does.
type OpKind string

// Kinds of Op.
const (
	// OpSet gives a key of a node its own value. Without a key it creates the
	// node.
	OpSet OpKind = "set"
	// OpReset removes a key's own value, so that the node inherits it.
	OpReset OpKind = "reset"
	// OpDelete removes a node and all nodes below it.
	OpDelete OpKind = "delete"
)

// Op is one step of a change.
type Op struct {
	Op    OpKind `json:"op"`
	Path  string `json:"path"`
	Key   string `json:"key,omitempty"`
	Value Value  `json:"value,omitzero"`
}

// String returns the op as an operator would write it.
func (o Op) String() string {
	switch {
	case o.Key == "":
		return fmt.Sprintf("%s %s", o.Op, o.Path)
	case o.Op == OpSet:
		return fmt.Sprintf("%s %s %s=%s", o.Op, o.Path, o.Key, shorten(o.Value.String()))
	}
	return fmt.Sprintf("%s %s %s", o.Op, o.Path, o.Key)
}

// Change is a set of ops that take effect together or not at all.
type Change struct {
	// ID names the change. A change that is sent again under its id receives
	// its first result.
	ID string `json:"id"`
	// Base is the revision that the change was made against.
	Base   uint64    `json:"base"`
	Author string    `json:"author,omitempty"`
	At     time.Time `json:"at"`
	Ops    []Op      `json:"ops"`
}

// ResultCode is the kind of answer to a change.
type ResultCode string

// Answers to a change.
const (
	Applied ResultCode = "applied"
	// Duplicate is the answer to a change that was sent again; First has its
	// first answer.
	Duplicate ResultCode = "duplicate"
	// Conflicting means that the settings changed since the base revision.
	Conflicting ResultCode = "conflict"
	Invalid     ResultCode = "invalid"
)

// Result answers a change.
type Result struct {
	// Revision is the revision that the change made; for a change that was not
	// applied, the revision at that time.
	Revision uint64     `json:"revision"`
	Code     ResultCode `json:"code"`
	// First is the code of the first answer, for a duplicate.
	First     ResultCode `json:"first,omitempty"`
	Conflicts []Conflict `json:"conflicts,omitempty"`
	// MoreConflicts counts conflicts that are not listed.
	MoreConflicts int       `json:"moreConflicts,omitempty"`
	Errors        []Problem `json:"errors,omitempty"`
}

// Outcome returns the code of the first answer, also for a duplicate.
func (r Result) Outcome() ResultCode {
	if r.Code == Duplicate {
		return r.First
	}
	return r.Code
}

// Conflict names something that changed since the base revision of a change.
type Conflict struct {
	Revision uint64    `json:"revision"`
	ID       string    `json:"id"`
	Author   string    `json:"author,omitempty"`
	At       time.Time `json:"at"`
	Path     string    `json:"path"`
	Key      string    `json:"key,omitempty"`
	// Overlaps reports whether the refused change has an op for the same
	// setting or node.
	Overlaps bool `json:"overlaps"`
}

// ProblemCode is the kind of a Problem.
type ProblemCode string

// Kinds of Problem.
const (
	BadPath      ProblemCode = "path"
	UnknownKey   ProblemCode = "unknown_key"
	Misplaced    ProblemCode = "misplaced_key"
	BadValue     ProblemCode = "value"
	BadOp        ProblemCode = "op"
	NoNode       ProblemCode = "no_node"
	BadReference ProblemCode = "reference"
	Cycle        ProblemCode = "cycle"
	ExceedsLimit ProblemCode = "limit"
	Contradicts  ProblemCode = "contradiction"
	BadChange    ProblemCode = "change"
)

// Problem says why a change is not accepted, at which setting, and what would
// be.
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

// Record is an accepted change with the ops that take it back.
type Record struct {
	Revision uint64    `json:"revision"`
	ID       string    `json:"id"`
	Author   string    `json:"author,omitempty"`
	At       time.Time `json:"at"`
	Ops      []Op      `json:"ops"`
	Undo     []Op      `json:"undo"`
}
