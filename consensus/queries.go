package consensus

import (
	"slices"
	"time"
)

// Status is a copy of a node's state for operators and tests.
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
	// Peers is set only on the leader.
	Peers []PeerProgress
}

// PeerProgress is the leader's view of another member.
type PeerProgress struct {
	ID          NodeID
	Voter       bool
	Match       uint64
	Volatile    bool
	LastContact time.Time
}

// Status returns a copy of the node's state.
func (n *Node) Status() Status {
	s := Status{ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader, FirstIndex: n.log.offset + 1,
		LastIndex: n.log.last(), Commit: n.commit, Applied: n.applied, SnapshotIndex: n.snapshot.Index,
		Members: n.log.latestMembers().members.Clone(), Volatile: n.volatile}
	for _, p := range n.peers {
		s.Peers = append(s.Peers, PeerProgress{ID: p.id, Voter: p.voter, Match: p.match, Volatile: p.volatile, LastContact: p.lastContact})
	}
	return s
}

// NextDeadline returns the time at which Tick must be called next.
func (n *Node) NextDeadline() time.Time {
	next := n.electionDeadline
	if n.role == Leader {
		next = n.heartbeatDue
		if !n.transferee.IsZero() && n.transferDeadline.Before(next) {
			next = n.transferDeadline
		}
	}
	for _, r := range n.reads {
		if r.expires.Before(next) {
			next = r.expires
		}
	}
	return next
}

// SnapshotMeta returns the metadata for a snapshot taken after the entry at
// index, which must be in the log.
func (n *Node) SnapshotMeta(index uint64) (SnapshotMeta, error) {
	term, ok := n.log.term(index)
	if !ok {
		return SnapshotMeta{}, ErrCompacted
	}
	return SnapshotMeta{Index: index, Term: term, Members: n.log.membersAtIndex(index).Clone()}, nil
}

// Applied returns the index of the last entry that was applied.
func (n *Node) Applied() uint64 { return n.applied }

// Leader returns the leader of the current term, or zero if it is not known.
func (n *Node) Leader() NodeID { return n.leader }

// IsLeader reports whether this node is the leader.
func (n *Node) IsLeader() bool { return n.role == Leader }

// LeaseValid reports whether this node is the leader and no other leader can
// exist at this time, provided that all clocks stay within MaxClockDrift.
func (n *Node) LeaseValid(now time.Time) bool { return n.leaseValid(now) }

// leaseDuration is the part of an ElectionTimeout, on the leader's clock, during
// which a member that answered cannot vote for another leader. It assumes that
// the leader's clock is slow and the member's is fast by MaxClockDrift each.
func (n *Node) leaseDuration() time.Duration {
	drift := n.cfg.MaxClockDrift
	return time.Duration(float64(n.cfg.ElectionTimeout) * (1 - drift) / (1 + drift))
}

func (n *Node) leaseValid(now time.Time) bool {
	return n.role == Leader && !n.leaseRevoked && n.committedInTerm() &&
		!n.leaseStart.IsZero() && now.Sub(n.leaseStart) < n.leaseDuration()
}

// committedInTerm reports whether an entry of the current term is committed.
// The commit index then covers every entry that an earlier leader committed.
func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.commit)
	return ok && term == n.term
}

// leaderMayHoldLease reports whether a leader may still hold a lease that depends on
// this member.
func (n *Node) leaderMayHoldLease(now time.Time) bool {
	return n.role == Leader || now.Sub(n.leaderContact) < n.cfg.ElectionTimeout
}

func (n *Node) isVoter() bool { return slices.Contains(n.log.latestMembers().members.Voters, n.cfg.ID) }

func (n *Node) canCampaign() bool { return !n.volatile && n.isVoter() }

func (n *Node) isSoleVoter() bool {
	voters := n.log.latestMembers().members.Voters
	return len(voters) == 1 && voters[0] == n.cfg.ID
}

func (n *Node) hasVoteMajority() bool {
	voters := n.log.latestMembers().members.Voters
	count := 0
	for _, id := range voters {
		if slices.Contains(n.votes, id) {
			count++
		}
	}
	return count > len(voters)/2
}

// HasInstance reports whether an instance is a voter or a learner with any
// storage id.
func (m Members) HasInstance(instance string) bool {
	matches := func(id NodeID) bool { return id.Instance == instance }
	return slices.ContainsFunc(m.Voters, matches) || slices.ContainsFunc(m.Learners, matches)
}

// Clone returns a deep copy of m.
func (m Members) Clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// CompactionIndex returns the index up to which the log can be compacted after
// a snapshot at index. It retains entries before the snapshot until either
// their count or their size reaches the given limit.
func (n *Node) CompactionIndex(index uint64, entries, bytes int) uint64 {
	for index > n.log.offset && entries > 0 && bytes > 0 {
		entries--
		bytes -= len(n.log.entries[index-n.log.offset-1].Data)
		index--
	}
	return index
}
