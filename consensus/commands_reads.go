package consensus

import "time"

// roundStart remembers when a round of broadcasts began, until a majority has
// answered it.
type roundStart struct {
	round uint64
	at    time.Time
}

// pendingRead waits for a majority to answer round (on the leader) or for the
// leader's answer (elsewhere).
type pendingRead struct {
	id      ReadID
	round   uint64
	index   uint64
	from    NodeID // the member that asked, zero for this one
	remote  uint64 // the id that from gave the read
	expires time.Time
}

// ReadIndex starts a linearizable read. Its ReadResult gives the entry that
// local state must include; the leader answers at once while it holds its
// lease.
func (n *Node) ReadIndex(now time.Time) (ReadID, error) {
	if n.leader.IsZero() {
		return 0, &NotLeaderError{}
	}
	if n.role == Leader && !n.committedInTerm() {
		return 0, ErrNotReady
	}
	n.nextRead++
	r := pendingRead{id: n.nextRead, expires: now.Add(n.cfg.ElectionTimeout)}
	if n.role == Leader {
		n.leaderRead(now, r)
		return r.id, nil
	}
	n.reads = append(n.reads, r)
	n.send(Message{Type: MsgReadIndex, To: n.leader, Term: n.term, Read: uint64(r.id)})
	return r.id, nil
}

func (n *Node) leaderRead(now time.Time, r pendingRead) {
	r.index = n.commit
	if n.leaseValid(now) {
		n.finishRead(r, true)
		return
	}
	n.broadcastRound(now)
	r.round = n.round
	n.reads = append(n.reads, r)
	n.advanceRound()
}

func (n *Node) handleReadIndex(now time.Time, m Message) {
	r := pendingRead{from: m.From, remote: m.Read, expires: now.Add(n.cfg.ElectionTimeout)}
	if n.role != Leader || !n.committedInTerm() {
		n.finishRead(r, false)
		return
	}
	n.leaderRead(now, r)
}

func (n *Node) finishRead(r pendingRead, ok bool) {
	if r.from.IsZero() {
		n.results = append(n.results, ReadResult{ID: r.id, Index: r.index, OK: ok})
		return
	}
	n.send(Message{Type: MsgReadIndexResponse, To: r.from, Term: n.term, Index: r.index, Read: r.remote, Reject: !ok})
}

func (n *Node) completeRead(id ReadID, index uint64, ok bool) {
	for i, r := range n.reads {
		if r.id == id && r.from.IsZero() {
			n.reads = append(n.reads[:i:i], n.reads[i+1:]...)
			r.index = index
			n.finishRead(r, ok)
			return
		}
	}
}

// failReads ends all reads, because the leader that they depend on is gone.
func (n *Node) failReads() {
	for _, r := range n.reads {
		n.finishRead(r, false)
	}
	n.reads = nil
}

// expireReads ends the reads whose messages were probably lost.
func (n *Node) expireReads(now time.Time) {
	kept := n.reads[:0:0]
	for _, r := range n.reads {
		if now.Before(r.expires) {
			kept = append(kept, r)
			continue
		}
		n.finishRead(r, false)
	}
	n.reads = kept
}

// broadcastRound begins a round of messages to all members. A round whose
// messages have not left yet is used again.
func (n *Node) broadcastRound(now time.Time) {
	if n.roundUnsent {
		return
	}
	n.round++
	n.roundUnsent = true
	n.rounds = append(n.rounds, roundStart{n.round, now})
	n.heartbeatDue = now.Add(n.cfg.HeartbeatInterval)
	n.replicateAll(true)
	n.advanceRound()
}

// advanceRound extends the lease to the start of the last round that a
// majority has answered, and completes the reads that waited for it.
func (n *Node) advanceRound() {
	round := n.quorumValue(n.round, func(p *progress) uint64 { return p.round })
	for len(n.rounds) > 0 && n.rounds[0].round <= round {
		n.leaseStart = n.rounds[0].at
		n.rounds = n.rounds[1:]
	}
	waiting := n.reads[:0:0]
	for _, r := range n.reads {
		if r.round <= round {
			n.finishRead(r, true)
			continue
		}
		waiting = append(waiting, r)
	}
	n.reads = waiting
}
