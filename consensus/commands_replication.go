package consensus

import (
	"fmt"
	"slices"
	"time"
)

type progressState uint8

const (
	// probing sends one empty append at a time until the logs match somewhere.
	probing progressState = iota
	// replicating sends batches ahead of their acknowledgements.
	replicating
	// installing waits for a snapshot to be installed.
	installing
)

// progress is what a leader knows of another member.
type progress struct {
	id    NodeID
	voter bool
	state progressState
	// match is the last entry known to agree, durable the last one that the
	// member has also synced.
	match, durable, next uint64
	inFlight             []uint64 // last index of each unacknowledged append
	waiting              bool     // a probe is under way
	sentCommit           uint64
	volatile             bool
	heard                time.Time
	round                uint64
}

func (n *Node) peer(id NodeID) *progress {
	for _, p := range n.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// updatePeers makes the peers those of the current members.
func (n *Node) updatePeers(now time.Time) {
	members := n.log.current().members
	old := n.peers
	n.peers = nil
	add := func(ids []NodeID, voter bool) {
		for _, id := range ids {
			if id == n.cfg.ID {
				continue
			}
			p := &progress{id: id, next: n.log.last() + 1, heard: now}
			if i := slices.IndexFunc(old, func(p *progress) bool { return p.id == id }); i >= 0 {
				p = old[i]
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

// replicate sends a member what it lacks. A heartbeat is sent even when there
// is nothing new; it also finds out whether an earlier message was lost.
func (n *Node) replicate(p *progress, heartbeat bool) {
	if p.next <= n.log.offset {
		p.state, p.inFlight = installing, nil
		p.next = n.log.offset
	}
	switch p.state {
	case installing:
		if heartbeat || !p.waiting {
			p.waiting = true
			n.send(Message{Type: MsgSnapshot, To: p.id, Term: n.term, Round: n.round, Snapshot: &Snapshot{Meta: n.snapshot}})
		}
	case probing:
		if heartbeat || !p.waiting {
			p.waiting = true
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
	previous := p.next - 1
	term, _ := n.log.term(previous)
	p.sentCommit = n.commit
	n.send(Message{Type: MsgAppend, To: p.id, Term: n.term, Index: previous, LogTerm: term,
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
			return fmt.Errorf("entry %d of %s conflicts with a committed entry", e.Index, m.From)
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
	term, held := n.log.term(meta.Index)
	switch {
	case meta.Index <= n.commit:
		reply.Index = n.commit
	case held && term == meta.Term:
		n.commit = meta.Index
		reply.Index = meta.Index
	case m.Snapshot.Data == nil:
		// Only announced; the reply shows that this member is alive.
	default:
		n.install, n.snapshot = m.Snapshot, meta
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
		// The member has lost its disk, or has restarted with it and lost what it
		// held in memory: nothing known of its log holds any more.
		*p = progress{id: p.id, voter: p.voter, next: n.log.last() + 1, volatile: m.Volatile, heard: p.heard}
	}
	if !m.Volatile {
		p.heard = now
		p.round = max(p.round, m.Round)
	}
	if m.Reject {
		n.handleRejection(p, m)
	} else {
		n.handleMatch(p, m)
	}
	n.advanceRound()
	n.advanceCommit()
	n.finishTransfer(p)
	n.replicate(p, false)
}

func (n *Node) handleRejection(p *progress, m Message) {
	if m.Volatile && m.Rejected <= p.match {
		// A volatile member restarts with an empty log under the same id.
		p.match = 0
	}
	stale := m.Rejected <= p.match || p.state == probing && m.Rejected != p.next-1 || p.state == installing
	if stale && !m.Volatile {
		return
	}
	hint := n.log.conflictHint(m.Index, m.LogTerm)
	p.next = max(p.match+1, min(m.Rejected, hint+1))
	p.state, p.inFlight, p.waiting = probing, nil, false
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
		p.state, p.waiting = replicating, false
		p.next = p.match + 1
	}
}

// advanceCommit commits the last entry of this term that a majority of voters
// has synced, and with it all earlier ones.
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
func (n *Node) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(n.peers)+1)
	if n.isVoter() {
		values = append(values, own)
	}
	for _, p := range n.peers {
		if p.voter {
			values = append(values, of(p))
		}
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// quorumHeard reports whether a majority answered within an ElectionTimeout.
func (n *Node) quorumHeard(now time.Time) bool {
	heard := n.quorumValue(1, func(p *progress) uint64 {
		if now.Sub(p.heard) < n.cfg.ElectionTimeout {
			return 1
		}
		return 0
	})
	return heard == 1
}
