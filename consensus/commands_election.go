package consensus

import (
	"slices"
	"time"
)

// resetElection starts a new election timeout with random jitter.
func (n *Node) resetElection(now time.Time) {
	jitter := time.Duration(n.rng.Int63n(int64(n.cfg.ElectionTimeout)))
	n.electionDeadline = now.Add(n.cfg.ElectionTimeout + jitter)
}

// campaign starts a pre-vote or an election. A pre-vote finds out whether an
// election could be won without changing any term, so that a member that
// rejoins after a partition does not depose a working leader.
func (n *Node) campaign(now time.Time, preVote, force bool) {
	kind, term := MsgPreVote, n.term+1
	n.leader = NodeID{}
	n.resetElection(now)
	n.votes = []NodeID{n.cfg.ID}
	n.role = PreCandidate
	if !preVote {
		kind = MsgVote
		n.role = Candidate
		n.term, n.vote = term, n.cfg.ID
	}
	if n.hasVoteMajority() {
		n.advanceElection(now)
		return
	}
	for _, id := range n.log.latestMembers().members.Voters {
		if id != n.cfg.ID {
			n.send(Message{Type: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Force: force})
		}
	}
}

// advanceElection continues after a majority of votes: a won pre-vote starts
// the election, a won election makes the node leader.
func (n *Node) advanceElection(now time.Time) {
	if n.role == PreCandidate {
		n.campaign(now, false, false)
		return
	}
	n.becomeLeader(now)
}

func (n *Node) handlePreVote(now time.Time, m Message) {
	if n.volatile {
		return
	}
	if m.Term > n.term && !n.leaderMayHoldLease(now) && n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Type: MsgPreVoteResponse, To: m.From, Term: m.Term})
		return
	}
	n.send(Message{Type: MsgPreVoteResponse, To: m.From, Term: n.term, Reject: true})
}

func (n *Node) handleVote(now time.Time, m Message) {
	canVote := n.vote.IsZero() || n.vote == m.From
	grant := canVote && n.log.upToDate(m.Index, m.LogTerm)
	if grant && n.vote.IsZero() {
		n.role, n.vote = Follower, m.From
	}
	if grant {
		n.resetElection(now)
	}
	n.send(Message{Type: MsgVoteResponse, To: m.From, Term: n.term, Reject: !grant})
}

func (n *Node) handleVoteResponse(now time.Time, m Message) {
	counted := n.role == PreCandidate && m.Type == MsgPreVoteResponse && m.Term == n.term+1 ||
		n.role == Candidate && m.Type == MsgVoteResponse && m.Term == n.term
	if !counted || m.Reject || slices.Contains(n.votes, m.From) {
		return
	}
	n.votes = append(n.votes, m.From)
	if n.hasVoteMajority() {
		n.advanceElection(now)
	}
}

func (n *Node) becomeFollower(now time.Time, term uint64, leader NodeID) {
	if term > n.term {
		n.term, n.vote = term, NodeID{}
	}
	if n.role == Leader {
		n.resetElection(now)
	}
	n.role, n.leader = Follower, leader
	n.peers, n.openRounds, n.votes = nil, nil, nil
	n.transferee = NodeID{}
	n.failReads()
}

// recordLeaderContact follows the leader of the current term and restarts the
// election timeout.
func (n *Node) recordLeaderContact(now time.Time, leader NodeID) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(now, n.term, leader)
	}
	n.leaderContact = now
	n.resetElection(now)
}

func (n *Node) becomeLeader(now time.Time) {
	n.failReads()
	n.role, n.leader = Leader, n.cfg.ID
	n.votes, n.openRounds, n.peers = nil, nil, nil
	n.leaseStart, n.leaseRevoked = time.Time{}, false
	n.transferee = NodeID{}
	n.updatePeers(now)
	n.pendingBytes = 0
	for _, e := range n.log.slice(n.commit, n.log.last()) {
		n.pendingBytes += len(e.Data)
	}
	n.leaderContact = now
	// Appending fails only for members that cannot be decoded, and an EntryNoOp
	// carries none.
	_, _, _ = n.appendToLog(EntryNoOp, nil)
	n.broadcastRound(now)
}

// TransferLeadership starts the transfer of leadership to a voter. Commands are
// rejected until the target has received every entry and takes over, or an
// ElectionTimeout has passed.
func (n *Node) TransferLeadership(now time.Time, target NodeID) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if target == n.cfg.ID {
		return nil
	}
	if !slices.Contains(n.log.latestMembers().members.Voters, target) {
		return ErrNotMember
	}
	n.transferee = target
	n.transferDeadline = now.Add(n.cfg.ElectionTimeout)
	n.maybeSendTimeoutNow(n.peer(target))
	return nil
}

// maybeSendTimeoutNow asks the transfer target to campaign once it has every
// entry. The target may then win an election despite the lease, so the leader
// stops using its lease for the rest of the term.
func (n *Node) maybeSendTimeoutNow(p *progress) {
	if p == nil || p.id != n.transferee || p.match != n.log.last() {
		return
	}
	n.leaseRevoked = true
	n.send(Message{Type: MsgTimeoutNow, To: p.id, Term: n.term})
}
