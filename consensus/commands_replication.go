package consensus

import (
	"fmt"
	"slices"
	"time"
)

// progressState is the mode in which a leader replicates to a member.
type progressState uint8

const (
	// probing sends one empty append at a time until a matching entry is found.
	probing progressState = iota
	// replicating pipelines batches without waiting for acknowledgements.
	replicating
	// installing waits until the member has installed a snapshot.
	installing
)

// progress is a leader's view of another member's log.
type progress struct {
	id    NodeID
	voter bool
	state progressState
	// match is the last entry known to match the leader's log, durable the last
	// one that the member has also synced, next the first one to send.
	match, durable, next uint64
	inFlight             []uint64 // last index of each unacknowledged append
	awaitingReply        bool     // a probe or a snapshot offer is unanswered
	sentCommit           uint64
	volatile             bool
	lastContact          time.Time
	lastRound            uint64
}

func (n *Node) peer(id NodeID) *progress {
	for _, p := range n.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// updatePeers rebuilds the peers from the latest membership and keeps the
// progress of members that remain.
func (n *Node) updatePeers(now time.Time) {
	members := n.log.latestMembers().members
	previous := n.peers
	n.peers = nil
	add := func(ids []NodeID, voter bool) {
		for _, id := range ids {
			if id == n.cfg.ID {
				continue
			}
			p := &progress{id: id, next: n.log.last() + 1, lastContact: now}
			if i := slices.IndexFunc(previous, func(p *progress) bool { return p.id == id }); i >= 0 {
				p = previous[i]
			}
			p.voter = voter
			n.peers = append(n.peers, p)
		}
	}
	add(members.Voters, true)
	add(members.Learners, false)
}

func (n *Node) replicateAll(heartbeat bool) {
	for _, p := range n.peers {
		n.replicate(p, heartbeat)
	}
}

// replicate sends a member the entries or the snapshot that it lacks. With
// heartbeat set it sends a message even when there is nothing new, which also
// detects the loss of an earlier message.
func (n *Node) replicate(p *progress, heartbeat bool) {
	if p.next <= n.log.offset {
		p.state, p.inFlight = installing, nil
		p.next = n.log.offset
	}
	switch p.state {
	case installing:
		if heartbeat || !p.awaitingReply {
			p.awaitingReply = true
			n.send(Message{Type: MsgSnapshot, To: p.id, Term: n.term, Round: n.round, Snapshot: &Snapshot{Meta: n.snapshot}})
		}
	case probing:
		if heartbeat || !p.awaitingReply {
			p.awaitingReply = true
			n.sendAppend(p, nil)
		}
	case replicating:
		sent := false
		for len(p.inFlight) < n.cfg.MaxInFlight && p.next <= n.log.last() {
			batch := n.log.batch(p.next-1, n.cfg.MaxBatchBytes)
			n.sendAppend(p, batch)
			p.next += uint64(len(batch))
			p.inFlight = append(p.inFlight, p.next-1)
			sent = true
		}
		if !sent && (heartbeat || p.sentCommit < n.commit) {
			n.sendAppend(p, nil)
		}
	}
}

func (n *Node) sendAppend(p *progress, entries []Entry) {
	prevIndex := p.next - 1
	prevTerm, _ := n.log.term(prevIndex)
	p.sentCommit = n.commit
	n.send(Message{Type: MsgAppend, To: p.id, Term: n.term, Index: prevIndex, LogTerm: prevTerm,
		Commit: n.commit, Round: n.round, Entries: entries})
}

func (n *Node) handleAppend(m Message) error {
	reply := Message{Type: MsgAppendResponse, To: m.From, Term: n.term, Round: m.Round, Volatile: n.volatile}
	if m.Index < n.commit {
		reply.Index = n.commit
		n.send(reply)
		return nil
	}
	if term, ok := n.log.term(m.Index); !ok || term != m.LogTerm {
		reply.Reject, reply.Rejected = true, m.Index
		reply.Index = n.log.conflictHint(m.Index, m.LogTerm)
		reply.LogTerm, _ = n.log.term(reply.Index)
		n.send(reply)
		return nil
	}
	for i, e := range m.Entries {
		if term, ok := n.log.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= n.commit {
			return fmt.Errorf("entry %d from %s conflicts with a committed entry", e.Index, m.From)
		}
		n.log.truncate(e.Index - 1)
		if err := n.log.append(m.Entries[i:]...); err != nil {
			return err
		}
		break
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, reply.Index))
	n.send(reply)
	return nil
}

func (n *Node) handleSnapshot(m Message) {
	reply := Message{Type: MsgAppendResponse, To: m.From, Term: n.term, Round: m.Round, Volatile: n.volatile}
	meta := m.Snapshot.Meta
	term, inLog := n.log.term(meta.Index)
	switch {
	case meta.Index <= n.commit:
		reply.Index = n.commit
	case inLog && term == meta.Term:
		n.commit = meta.Index
		reply.Index = meta.Index
	case m.Snapshot.Data == nil:
		// The offer carries no data yet; the reply still renews the leader's
		// contact with this member.
	default:
		n.pendingSnapshot, n.snapshot = m.Snapshot, meta
		n.log.reset(meta)
		n.commit, n.applied = meta.Index, meta.Index
		reply.Index = meta.Index
	}
	n.send(reply)
}

func (n *Node) handleAppendResponse(now time.Time, m Message) {
	p := n.peer(m.From)
	if n.role != Leader || p == nil {
		return
	}
	if p.volatile != m.Volatile {
		// The member's disk failed, or the member restarted with its disk and
		// lost the entries held in memory. Its recorded progress is invalid.
		*p = progress{id: p.id, voter: p.voter, next: n.log.last() + 1, volatile: m.Volatile, lastContact: p.lastContact}
	}
	if !m.Volatile {
		p.lastContact = now
		p.lastRound = max(p.lastRound, m.Round)
	}
	if m.Reject {
		n.handleRejection(p, m)
	} else {
		n.handleMatch(p, m)
	}
	n.advanceRound()
	n.advanceCommit()
	n.maybeSendTimeoutNow(p)
	n.replicate(p, false)
}

func (n *Node) handleRejection(p *progress, m Message) {
	if m.Volatile && m.Rejected <= p.match {
		// A volatile member that restarts keeps its id but loses its log.
		p.match = 0
	}
	stale := m.Rejected <= p.match || p.state == probing && m.Rejected != p.next-1 || p.state == installing
	if stale && !m.Volatile {
		return
	}
	hint := n.log.conflictHint(m.Index, m.LogTerm)
	p.next = max(p.match+1, min(m.Rejected, hint+1))
	p.state, p.inFlight, p.awaitingReply = probing, nil, false
}

func (n *Node) handleMatch(p *progress, m Message) {
	p.match = max(p.match, m.Index)
	if !m.Volatile {
		p.durable = max(p.durable, m.Index)
	}
	for len(p.inFlight) > 0 && p.inFlight[0] <= p.match {
		p.inFlight = p.inFlight[1:]
	}
	switch {
	case p.state == replicating:
		p.next = max(p.next, p.match+1)
	case p.state == probing || p.match >= n.log.offset:
		p.state, p.awaitingReply = replicating, false
		p.next = p.match + 1
	}
}

// advanceCommit commits all entries up to the last one that a majority of
// voters has synced, provided that this one is of the current term.
func (n *Node) advanceCommit() {
	index := n.quorumValue(n.log.stable, func(p *progress) uint64 { return p.durable })
	if index <= n.commit {
		return
	}
	if term, ok := n.log.term(index); !ok || term != n.term {
		return
	}
	for _, e := range n.log.slice(n.commit, index) {
		n.pendingBytes -= len(e.Data)
	}
	n.commit = index
}

// quorumValue returns the highest value that a majority of voters has reached.
// ownValue is the value of this node.
func (n *Node) quorumValue(ownValue uint64, value func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(n.peers)+1)
	if n.isVoter() {
		values = append(values, ownValue)
	}
	for _, p := range n.peers {
		if p.voter {
			values = append(values, value(p))
		}
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// hasQuorumContact reports whether a majority of voters has answered within the
// last ElectionTimeout.
func (n *Node) hasQuorumContact(now time.Time) bool {
	contacted := n.quorumValue(1, func(p *progress) uint64 {
		if now.Sub(p.lastContact) < n.cfg.ElectionTimeout {
			return 1
		}
		return 0
	})
	return contacted == 1
}
