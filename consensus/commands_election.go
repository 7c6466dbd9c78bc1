package consensus

import (
	"slices"
	"time"
)

func (n *Node) resetElection(now time.Time) {
	spread := time.Duration(n.rng.Int63n(int64(n.cfg.ElectionTimeout)))
	n.electionDeadline = now.Add(n.cfg.ElectionTimeout + spread)
}

// campaign starts an election. A pre-vote asks whether an election could be
// won without changing any term, so that a member that returns from a
// partition does not unseat a working leader.
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
	if n.electionWon() {
		n.winElection(now)
		return
	}
	for _, id := range n.log.current().members.Voters {
		if id != n.cfg.ID {
			n.send(Message{Type: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Force: force})
		}
	}
}

func (n *Node) winElection(now time.Time) {
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
	if m.Term > n.term && !n.leaderAlive(now) && n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Type: MsgPreVoteResponse, To: m.From, Term: m.Term})
		return
	}
	n.send(Message{Type: MsgPreVoteResponse, To: m.From, Term: n.term, Reject: true})
}

func (n *Node) handleVote(now time.Time, m Message) {
	free := n.vote.IsZero() || n.vote == m.From
	grant := free && n.log.upToDate(m.Index, m.LogTerm)
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
	if n.electionWon() {
		n.winElection(now)
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
	n.peers, n.rounds, n.votes = nil, nil, nil
	n.transferee = NodeID{}
	n.failReads()
}

// followLeader records contact with the leader of the current term.
func (n *Node) followLeader(now time.Time, leader NodeID) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(now, n.term, leader)
	}
	n.leaderContact = now
	n.resetElection(now)
}

func (n *Node) becomeLeader(now time.Time) {
	n.failReads()
	n.role, n.leader = Leader, n.cfg.ID
	n.votes, n.rounds, n.peers = nil, nil, nil
	n.leaseStart, n.leaseRevoked = time.Time{}, false
	n.transferee = NodeID{}
	n.updatePeers(now)
	n.pendingBytes = 0
	for _, e := range n.log.slice(n.commit, n.log.last()) {
		n.pendingBytes += len(e.Data)
	}
	n.leaderContact = now
	// An EntryEmpty carries no members, so that append cannot fail.
	_, _, _ = n.appendOwn(EntryEmpty, nil)
	n.broadcastRound(now)
}

// TransferLeadership hands leadership to a voter: commands are refused until
// the target has every entry and is told to campaign, or an ElectionTimeout
// has passed.
func (n *Node) TransferLeadership(now time.Time, target NodeID) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if target == n.cfg.ID {
		return nil
	}
	if !slices.Contains(n.log.current().members.Voters, target) {
		return ErrNotMember
	}
	n.transferee = target
	n.transferUntil = now.Add(n.cfg.ElectionTimeout)
	n.finishTransfer(n.peer(target))
	return nil
}

// finishTransfer tells the target to campaign once it has the whole log. From
// then on the target may be elected at any time within this term, so that the
// lease is not used any more.
func (n *Node) finishTransfer(p *progress) {
	if p == nil || p.id != n.transferee || p.match != n.log.last() {
		return
	}
	n.leaseRevoked = true
	n.send(Message{Type: MsgTimeoutNow, To: p.id, Term: n.term})
}
