// Package group manages replica groups: the state machine of a domain log,
// the decisions of that log's leader, and the serving decision of entries. It
// reads no clock and opens no connection.
package group

import (
	"encoding/json"
	"fmt"

	"github.com/bluebellfield/bluebellfield/membership"
)

// Phase is the phase of a group. A dissolved group is no longer in the State.
type Phase string

// Phases of a group.
const (
	Loading  Phase = "loading"
	Serving  Phase = "serving"
	Draining Phase = "draining"
)

// Cause says why a group does not serve or an accelerator is not in use.
type Cause string

// Causes.
const (
	CauseNone     Cause = ""
	CauseAbsent   Cause = "absent"   // a member is not heard
	CauseRestart  Cause = "restart"  // a member returned as a new incarnation
	CauseLeaving  Cause = "leaving"  // a member drains or leaves
	CauseSlow     Cause = "slow"     // a member is slow
	CauseConflict Cause = "conflict" // a member reports another group or epoch
	CauseLoading  Cause = "loading"  // members load weights
	CauseFabric   Cause = "fabric"   // most of the fabric domain is not heard
	CauseCapacity Cause = "capacity" // too few instances to form the group
	CauseSpare    Cause = "spare"    // free and not needed
	CauseHoldOff  Cause = "hold-off" // kept out after repeated losses
	CauseRelease  Cause = "release"  // leaving its last group
	CauseDemand   Cause = "demand"   // capacity is moved to another model
)

// Member is an instance in a group. Its rank is its position.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Group is a replica group.
type Group struct {
	ID           string           `json:"id"`
	Service      string           `json:"service"`
	Model        membership.Model `json:"model"`
	FabricDomain string           `json:"fabricDomain"`
	// Epoch is the fencing number of the newest order for the group.
	Epoch   uint64   `json:"epoch"`
	Phase   Phase    `json:"phase"`
	Members []Member `json:"members"`
	// Cause says why the group is not serving.
	Cause Cause `json:"cause,omitempty"`
	// Since is the time of the last change of phase and Deadline that of a
	// drain, in Unix milliseconds of the proposing leader.
	Since    int64 `json:"since"`
	Deadline int64 `json:"deadline,omitempty"`
}

// Instance is an instance that has been in a group.
type Instance struct {
	ID           string `json:"id"`
	FabricDomain string `json:"fabricDomain"`
	Incarnation  uint64 `json:"incarnation"`
	// Fencing says that the engine rejects old fencing numbers.
	Fencing bool `json:"fencing,omitempty"`
	// Epoch is the fencing number of the last intent for the instance.
	Epoch uint64 `json:"epoch"`
	// Group is empty for an instance that is in none.
	Group string `json:"group,omitempty"`
	// Releasing says that the instance has left its group and was not yet
	// observed free.
	Releasing bool `json:"releasing,omitempty"`
	// Losses counts the times that a group lost the instance, and LostAt is the
	// last of them.
	Losses int   `json:"losses,omitempty"`
	LostAt int64 `json:"lostAt,omitempty"`
}

// State is the state machine of a domain log.
type State struct {
	Revision uint64 `json:"revision"`
	// Term is the newest term of a leader whose command was applied.
	Term uint64 `json:"term"`
	// Epoch is the last fencing number issued.
	Epoch     uint64               `json:"epoch"`
	Groups    map[string]*Group    `json:"groups"`
	Instances map[string]*Instance `json:"instances"`
}

// NewState returns the state of an empty log.
func NewState() *State {
	return &State{Groups: map[string]*Group{}, Instances: map[string]*Instance{}}
}

// Snapshot encodes the state; equal states have equal bytes, because
// encoding/json sorts the keys of maps.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore replaces the state by a snapshot.
func (s *State) Restore(data []byte) error {
	next := NewState()
	if err := json.Unmarshal(data, next); err != nil {
		return fmt.Errorf("group snapshot of %d bytes: %w", len(data), err)
	}
	*s = *next
	return nil
}

// Clone returns a copy that shares nothing with the state.
func (s *State) Clone() *State {
	c := &State{Revision: s.Revision, Term: s.Term, Epoch: s.Epoch}
	c.Groups = make(map[string]*Group, len(s.Groups))
	for id, g := range s.Groups {
		d := *g
		d.Members = append([]Member(nil), g.Members...)
		c.Groups[id] = &d
	}
	c.Instances = make(map[string]*Instance, len(s.Instances))
	for id, i := range s.Instances {
		d := *i
		c.Instances[id] = &d
	}
	return c
}

// Kind is the kind of a Command.
type Kind string

// Kinds of commands.
const (
	// Form creates a group from free instances.
	Form Kind = "form"
	// Replace gives a group a new member list and epoch.
	Replace Kind = "replace"
	// Confirm moves a loading group to serving.
	Confirm Kind = "confirm"
	// Drain stops new work for a group.
	Drain Kind = "drain"
	// Dissolve ends a group and releases its members.
	Dissolve Kind = "dissolve"
	// Reclaim releases an instance that reports a group it is not in.
	Reclaim Kind = "reclaim"
	// Free ends the release of an instance that was observed free.
	Free Kind = "free"
	// Forget removes an instance in no group.
	Forget Kind = "forget"
)

// Candidate is an instance for Form and Replace, as the leader observed it.
type Candidate struct {
	ID           string `json:"id"`
	Incarnation  uint64 `json:"incarnation"`
	FabricDomain string `json:"fabricDomain"`
	Fencing      bool   `json:"fencing,omitempty"`
}

// Command is a proposal to the domain log.
type Command struct {
	Kind Kind `json:"kind"`
	// Term is the proposing leader's term, At its clock in Unix milliseconds.
	Term uint64 `json:"term"`
	At   int64  `json:"at"`

	Group string `json:"group,omitempty"`
	// Epoch is the epoch of the group, or of the instance for Free, that the
	// leader saw; a command for another epoch is refused.
	Epoch   uint64           `json:"epoch,omitempty"`
	Service string           `json:"service,omitempty"`
	Model   membership.Model `json:"model,omitzero"`
	Members []Candidate      `json:"members,omitempty"`
	// Lost lists members that left the group by a fault.
	Lost []string `json:"lost,omitempty"`
	// Instance is the subject of Reclaim, Free and Forget.
	Instance Candidate `json:"instance,omitzero"`
	Cause    Cause     `json:"cause,omitempty"`
	Deadline int64     `json:"deadline,omitempty"`
	// Gain is the expected gain in weighted cost that justifies breaking up a
	// group in which no member is lost or leaves.
	Gain float64 `json:"gain,omitempty"`
}

// Encode returns the command as it is written to the log.
func (c Command) Encode() ([]byte, error) { return json.Marshal(c) }

// DecodeCommand reads a command of the log.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("group command of %d bytes: %w", len(data), err)
	}
	return c, nil
}

// Code is the result code of a command.
type Code string

// Result codes.
const (
	Applied Code = "applied"
	// OldTerm: the proposing leader has been superseded.
	OldTerm Code = "old-term"
	// OldEpoch: the group or instance has changed since the leader looked.
	OldEpoch Code = "old-epoch"
	// Unknown: the group or instance does not exist.
	Unknown Code = "unknown"
	// Occupied: an instance is in another group or not yet released.
	Occupied Code = "occupied"
	// Invalid: the command breaks a rule whatever the state.
	Invalid Code = "invalid"
)

// Result is the result of a command.
type Result struct {
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
	// Epoch is the fencing number issued, if any.
	Epoch uint64 `json:"epoch,omitempty"`
}

func refuse(code Code, format string, args ...any) Result {
	return Result{Code: code, Message: fmt.Sprintf(format, args...)}
}
