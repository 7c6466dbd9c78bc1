// Package fleet maintains a table with the latest report of each upstream. It
// merges delayed, duplicate and reordered reports from several registrars. The
// package reads no clock and opens no connections.
package fleet

import "time"

// Phase is the lifecycle phase of an upstream.
type Phase uint8

// Phases.
const (
	Ready Phase = iota
	// Draining upstreams finish their running requests and accept no new ones.
	Draining
	// Gone upstreams have left, or another process has taken their address. The
	// record is kept for a while, so that a delayed report does not restore it.
	Gone
)

func (p Phase) String() string { return [...]string{"ready", "draining", "gone"}[p] }

// MemberState is the state of a replica group as reported by one member.
type MemberState uint8

// States of a member.
const (
	NoGroup MemberState = iota
	Joining
	// Formed members have joined; the group does not serve.
	Formed
	// Open is reported by the head of a serving group.
	Open
	Closing
	// Broken is reported by the head of a group that has lost a member.
	Broken
)

func (s MemberState) String() string {
	return [...]string{"none", "joining", "formed", "open", "closing", "broken"}[s]
}

// Membership is the role of an upstream in a replica group.
type Membership struct {
	Group string
	Epoch uint64
	// Rank is the position in the group. The member with rank 0 is the head and
	// receives the requests.
	Rank  int
	State MemberState
}

// Upstream is the latest report of an upstream.
type Upstream struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	FabricDomain  string
	// StartMillis is the start time of the process in Unix milliseconds. It
	// identifies the incarnation: an upstream that restarts with the same ID has a
	// later start time and none of its earlier state.
	StartMillis int64
	// Sequence orders the reports of one incarnation.
	Sequence uint64
	Phase    Phase
	Slots    int
	// Model is the name of the model in the engine's memory, or empty.
	Model string
	// Staged lists the models whose weights are on the host.
	Staged []string
	Member Membership
	// Replaced is set once another process that started later uses the address,
	// which proves that this one has ended. A departed upstream that is not
	// replaced may still be running. It is not compared and not forwarded.
	Replaced bool
	// ReceivedAt is the local time at which the report arrived. It is not compared
	// and not forwarded.
	ReceivedAt time.Time
}

// Table holds the latest report of each upstream.
type Table struct {
	upstreams map[string]*Upstream
	// byAddress holds the id of the upstream that last reported an address. An
	// upstream is listed with its current address only.
	byAddress map[string]string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{upstreams: map[string]*Upstream{}, byAddress: map[string]string{}}
}
