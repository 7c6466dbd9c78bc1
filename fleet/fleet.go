// Package fleet keeps what upstreams say of themselves: a table that merges
// reports which arrive late, twice or out of order, from several registrars.
// It reads no clock and opens no connection.
package fleet

import "time"

// Phase is the part of its life that an upstream is in.
type Phase uint8

// Phases.
const (
	Ready Phase = iota
	// Draining upstreams finish their work and take no new one.
	Draining
	// Gone upstreams have left or were replaced at their address. Their record
	// is kept for a while, so that a late report does not bring them back.
	Gone
)

func (p Phase) String() string { return [...]string{"ready", "draining", "gone"}[p] }

// MemberState is the state of a replica group as one member sees it.
type MemberState uint8

// States of a member.
const (
	NoGroup MemberState = iota
	Joining
	// Formed members have joined; the group does not serve.
	Formed
	// Open is reported by the first member of a group that serves.
	Open
	Closing
	// Broken groups have lost a member.
	Broken
)

func (s MemberState) String() string {
	return [...]string{"none", "joining", "formed", "open", "closing", "broken"}[s]
}

// Membership is an upstream's part in a replica group.
type Membership struct {
	Group string
	Epoch uint64
	// Rank 0 is the head, which receives the requests of the group.
	Rank  int
	State MemberState
}

// Upstream is the newest report of an upstream.
type Upstream struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	FabricDomain  string
	// Born is the time of its start in Unix milliseconds. An upstream that
	// starts again under its id has a later one and knows nothing of before.
	Born int64
	// Sequence orders the reports of one incarnation.
	Sequence uint64
	Phase    Phase
	Slots    int
	// Model is the model in the engine's memory, empty without one.
	Model string
	// Staged lists the models on the host.
	Staged []string
	Member Membership
	// Heard is the local time of the newest report. It is not part of what is
	// compared or passed on.
	Heard time.Time
}

// Table holds the newest report of each upstream.
type Table struct {
	upstreams map[string]*Upstream
	byAddress map[string]string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{upstreams: map[string]*Upstream{}, byAddress: map[string]string{}}
}
