package consensus

import (
	"slices"
	"time"
)

// Status describes a node for operators and tests.
type Status struct {
	ID            NodeID
	Role          Role
	Term          uint64
	Leader        NodeID
	FirstIndex    uint64
	LastIndex     uint64
	Commit        uint64
	Applied       uint64
	SnapshotIndex uint64
	Members       Members
	// Volatile is set on a member that does not vote because it has no working
	// disk.
	Volatile bool
	// Peers is filled on the leader.
	Peers []PeerProgress
}

// PeerProgress is the leader's view of another member.
type PeerProgress struct {
	ID       NodeID
	Voter    bool
	Match    uint64
	Volatile bool
	Heard    time.Time
}

// Status returns a copy of the node's state.
func (n *Node) Status() Status {
	s := Status{ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader, FirstIndex: n.log.offset + 1,
		LastIndex: n.log.last(), Commit: n.commit, Applied: n.applied, SnapshotIndex: n.snapshot.Index,
		Members: n.log.current().members.Clone(), Volatile: n.volatile}
	for _, p := range n.peers {
		s.Peers = append(s.Peers, PeerProgress{ID: p.id, Voter: p.voter, Match: p.match, Volatile: p.volatile, Heard: p.heard})
	}
	return s
}

// NextDeadline returns when Tick must be called next.
func (n *Node) NextDeadline() time.Time {
	next := n.electionDeadline
	if n.role == Leader {
		next = n.heartbeatDue
		if !n.transferee.IsZero() && n.transferUntil.Before(next) {
			next = n.transferUntil
		}
	}
	for _, r := range n.reads {
		if r.expires.Before(next) {
			next = r.expires
		}
	}
	return next
}

// SnapshotMeta describes a snapshot taken after an entry that the log holds.
func (n *Node) SnapshotMeta(index uint64) (SnapshotMeta, error) {
	term, ok := n.log.term(index)
	if !ok {
		return SnapshotMeta{}, ErrCompacted
	}
	return SnapshotMeta{Index: index, Term: term, Members: n.log.membersAtIndex(index).Clone()}, nil
}

// Leader returns the leader of the current term, zero when it is not known.
func (n *Node) Leader() NodeID { return n.leader }

// IsLeader reports whether this node is the leader.
func (n *Node) IsLeader() bool { return n.role == Leader }

// LeaseValid reports whether this node is the leader and no other leader can
// exist at this time, provided that clocks keep to MaxClockDrift.
func (n *Node) LeaseValid(now time.Time) bool { return n.leaseValid(now) }

// leaseDuration is the part of an ElectionTimeout during which a member that
// answered cannot vote for another leader, with the leader's clock slow and
// the member's clock fast by MaxClockDrift each.
func (n *Node) leaseDuration() time.Duration {
	drift := n.cfg.MaxClockDrift
	return time.Duration(float64(n.cfg.ElectionTimeout) * (1 - drift) / (1 + drift))
}

func (n *Node) leaseValid(now time.Time) bool {
	return n.role == Leader && !n.leaseRevoked && n.committedInTerm() &&
		!n.leaseStart.IsZero() && now.Sub(n.leaseStart) < n.leaseDuration()
}

// committedInTerm reports whether an entry of the current term is committed,
// which means that commit covers everything any earlier leader committed.
func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.commit)
	return ok && term == n.term
}

// leaderAlive reports whether a leader may still hold a lease that depends on
// this member.
func (n *Node) leaderAlive(now time.Time) bool {
	return n.role == Leader || now.Sub(n.leaderContact) < n.cfg.ElectionTimeout
}

func (n *Node) isVoter() bool { return slices.Contains(n.log.current().members.Voters, n.cfg.ID) }

func (n *Node) mayCampaign() bool { return !n.volatile && n.isVoter() }

func (n *Node) soleVoter() bool {
	voters := n.log.current().members.Voters
	return len(voters) == 1 && voters[0] == n.cfg.ID
}

func (n *Node) electionWon() bool {
	voters := n.log.current().members.Voters
	count := 0
	for _, id := range voters {
		if slices.Contains(n.votes, id) {
			count++
		}
	}
	return count > len(voters)/2
}

// Holds reports whether an instance is a voter or a learner, under any storage
// id.
func (m Members) Holds(instance string) bool {
	same := func(id NodeID) bool { return id.Instance == instance }
	return slices.ContainsFunc(m.Voters, same) || slices.ContainsFunc(m.Learners, same)
}

// Clone returns a copy that shares nothing with m.
func (m Members) Clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// KeepFrom returns the index up to which a log with a snapshot at index can be
// compacted while it keeps up to the given number of entries and bytes.
func (n *Node) KeepFrom(index uint64, entries, bytes int) uint64 {
	for index > n.log.offset && entries > 0 && bytes > 0 {
		entries--
		bytes -= len(n.log.entries[index-n.log.offset-1].Data)
		index--
	}
	return index
}
