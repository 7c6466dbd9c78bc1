// Package group manages replica groups. It holds the state machine of a
// failure domain's log, the controller that runs on the log's leader, and the
// check by which entries decide whether a group may receive requests. It reads
// no clock and opens no connection; callers pass in the time.
package group

import (
	"encoding/json"
	"fmt"

	"github.com/bluebellfield/bluebellfield/membership"
)

// Phase is the lifecycle phase of a group. A dissolved group is removed from
// the State.
type Phase string

// Values of Phase.
const (
	Loading  Phase = "loading"
	Serving  Phase = "serving"
	Draining Phase = "draining"
)

// Cause is the reason why a group does not serve or an accelerator is not in use.
type Cause string

// Values of Cause.
const (
	CauseNone     Cause = ""
	CauseAbsent   Cause = "absent"   // a member does not report
	CauseRestart  Cause = "restart"  // a member restarted as a new incarnation
	CauseLeaving  Cause = "leaving"  // a member is draining or leaving
	CauseSlow     Cause = "slow"     // a member runs slower than normal
	CauseConflict Cause = "conflict" // a member reports another group or epoch
	CauseLoading  Cause = "loading"  // members are loading weights
	CauseFabric   Cause = "fabric"   // most instances of the fabric domain do not report
	CauseCapacity Cause = "capacity" // too few instances to form the group
	CauseSpare    Cause = "spare"    // free and not needed by any demand
	CauseHoldOff  Cause = "hold-off" // avoided after repeated losses
	CauseRelease  Cause = "release"  // being released from its last group
	CauseDemand   Cause = "demand"   // capacity is being moved to another model
)

// Member is an instance in a group. Its rank is its index in Group.Members.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Group is a set of instances that together serve one replica of a model.
type Group struct {
	ID           string           `json:"id"`
	Service      string           `json:"service"`
	Model        membership.Model `json:"model"`
	FabricDomain string           `json:"fabricDomain"`
	// Epoch is the fencing number of the newest member list.
	Epoch   uint64   `json:"epoch"`
	Phase   Phase    `json:"phase"`
	Members []Member `json:"members"`
	// Cause is the reason why the group is not serving.
	Cause Cause `json:"cause,omitempty"`
	// Since is the time of the last phase change and Deadline the end of a
	// drain. Both are Unix milliseconds of the proposing leader's clock.
	Since    int64 `json:"since"`
	Deadline int64 `json:"deadline,omitempty"`
}

// Instance is the log's record of an instance that is or was in a group.
type Instance struct {
	ID           string `json:"id"`
	FabricDomain string `json:"fabricDomain"`
	Incarnation  uint64 `json:"incarnation"`
	// Fencing reports whether the engine rejects old fencing numbers.
	Fencing bool `json:"fencing,omitempty"`
	// Epoch is the fencing number of the last assignment or release of the
	// instance.
	Epoch uint64 `json:"epoch"`
	// Group is empty if the instance is in no group.
	Group string `json:"group,omitempty"`
	// Releasing reports whether the instance was removed from its group and has
	// not been observed free since.
	Releasing bool `json:"releasing,omitempty"`
	// Losses counts how often a group lost the instance to a fault; it decays
	// over time. LostAt is the time of the last loss.
	Losses int   `json:"losses,omitempty"`
	LostAt int64 `json:"lostAt,omitempty"`
}

// State is the replicated state machine of a failure domain's log.
type State struct {
	Revision uint64 `json:"revision"`
	// Term is the highest leader term among the applied commands.
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

// Snapshot encodes the state. Equal states have equal encodings because
// encoding/json sorts map keys.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore replaces the state with the one decoded from a snapshot.
func (s *State) Restore(data []byte) error {
	next := NewState()
	if err := json.Unmarshal(data, next); err != nil {
		return fmt.Errorf("decode group snapshot of %d bytes: %w", len(data), err)
	}
	*s = *next
	return nil
}

// Clone returns a deep copy.
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

// Kind selects the operation of a Command.
type Kind string

// Values of Kind.
const (
	// Form creates a group from free instances.
	Form Kind = "form"
	// Replace assigns a new member list and epoch to a group.
	Replace Kind = "replace"
	// Confirm changes a group from Loading to Serving.
	Confirm Kind = "confirm"
	// Drain stops new requests to a group.
	Drain Kind = "drain"
	// Dissolve removes a group and releases its members.
	Dissolve Kind = "dissolve"
	// Reclaim releases an instance that reports a group to which the log does
	// not assign it.
	Reclaim Kind = "reclaim"
	// Free completes the release of an instance that was observed free.
	Free Kind = "free"
	// Forget removes the record of an instance that is in no group.
	Forget Kind = "forget"
)

// Candidate is an instance in a Command, as the leader observed it.
type Candidate struct {
	ID           string `json:"id"`
	Incarnation  uint64 `json:"incarnation"`
	FabricDomain string `json:"fabricDomain"`
	Fencing      bool   `json:"fencing,omitempty"`
}

// Command is a proposal to the domain log.
type Command struct {
	Kind Kind `json:"kind"`
	// Term is the proposing leader's term and At its clock in Unix milliseconds.
	Term uint64 `json:"term"`
	At   int64  `json:"at"`

	Group string `json:"group,omitempty"`
	// Epoch is the epoch of the group, or for Free and Forget of the instance,
	// on which the leader decided. A command with another epoch is rejected.
	Epoch   uint64           `json:"epoch,omitempty"`
	Service string           `json:"service,omitempty"`
	Model   membership.Model `json:"model,omitzero"`
	Members []Candidate      `json:"members,omitempty"`
	// Lost lists members that the group lost to a fault.
	Lost []string `json:"lost,omitempty"`
	// Instance is the subject of Reclaim, Free and Forget.
	Instance Candidate `json:"instance,omitzero"`
	Cause    Cause     `json:"cause,omitempty"`
	Deadline int64     `json:"deadline,omitempty"`
	// Gain is the expected reduction of weighted cost. A group without lost,
	// leaving or conflicting members is changed only for a positive gain.
	Gain float64 `json:"gain,omitempty"`
}

// Encode returns the log encoding of the command.
func (c Command) Encode() ([]byte, error) { return json.Marshal(c) }

// DecodeCommand decodes a command from the log.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("decode group command of %d bytes: %w", len(data), err)
	}
	return c, nil
}

// Code is the result code of a command.
type Code string

// Values of Code.
const (
	Applied Code = "applied"
	// OldTerm means that a leader of a newer term has been seen.
	OldTerm Code = "old-term"
	// OldEpoch means that the group or instance has changed since the leader
	// decided.
	OldEpoch Code = "old-epoch"
	// Unknown means that the group or instance does not exist.
	Unknown Code = "unknown"
	// Occupied means that an instance is in another group or not yet released.
	Occupied Code = "occupied"
	// Invalid means that the command is malformed or breaks a rule.
	Invalid Code = "invalid"
)

// Result is the outcome of applying a command.
type Result struct {
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
	// Epoch is the fencing number that the command issued, if any.
	Epoch uint64 `json:"epoch,omitempty"`
}

func rejected(code Code, format string, args ...any) Result {
	return Result{Code: code, Message: fmt.Sprintf(format, args...)}
}
