package consensus

import "time"

// roundStart records when a broadcast round began, until a majority has
// answered it.
type roundStart struct {
	round     uint64
	startedAt time.Time
}

// pendingRead is a read that waits for a majority to answer its round (on the
// leader) or for the leader's response (on other members).
type pendingRead struct {
	id        ReadID
	round     uint64
	index     uint64
	requester NodeID // the member that sent the request, zero for this one
	remoteID  uint64 // the id that requester assigned to the read
	expires   time.Time
}

// ReadIndex starts a linearizable read. Its ReadResult contains the index of
// the entry that the local state must include. The leader answers immediately
// while its lease is valid.
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
		n.startLeaderRead(now, r)
		return r.id, nil
	}
	n.reads = append(n.reads, r)
	n.send(Message{Type: MsgReadIndex, To: n.leader, Term: n.term, Read: uint64(r.id)})
	return r.id, nil
}

// startLeaderRead answers a read under the lease, or else after a majority has
// answered a new broadcast round.
func (n *Node) startLeaderRead(now time.Time, r pendingRead) {
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
	r := pendingRead{requester: m.From, remoteID: m.Read, expires: now.Add(n.cfg.ElectionTimeout)}
	if n.role != Leader || !n.committedInTerm() {
		n.finishRead(r, false)
		return
	}
	n.startLeaderRead(now, r)
}

func (n *Node) finishRead(r pendingRead, ok bool) {
	if r.requester.IsZero() {
		n.results = append(n.results, ReadResult{ID: r.id, Index: r.index, OK: ok})
		return
	}
	n.send(Message{Type: MsgReadIndexResponse, To: r.requester, Term: n.term, Index: r.index, Read: r.remoteID, Reject: !ok})
}

// completeForwardedRead handles the leader's response to a read of this node.
func (n *Node) completeForwardedRead(id ReadID, index uint64, ok bool) {
	for i, r := range n.reads {
		if r.id == id && r.requester.IsZero() {
			n.reads = append(n.reads[:i:i], n.reads[i+1:]...)
			r.index = index
			n.finishRead(r, ok)
			return
		}
	}
}

// failReads fails all pending reads after the loss of the leader that they
// depend on.
func (n *Node) failReads() {
	for _, r := range n.reads {
		n.finishRead(r, false)
	}
	n.reads = nil
}

// failExpiredReads fails the reads whose messages were probably lost.
func (n *Node) failExpiredReads(now time.Time) {
	remaining := n.reads[:0:0]
	for _, r := range n.reads {
		if now.Before(r.expires) {
			remaining = append(remaining, r)
			continue
		}
		n.finishRead(r, false)
	}
	n.reads = remaining
}

// broadcastRound starts a round of messages to all members. It reuses the
// current round if Ready has not yet returned its messages.
func (n *Node) broadcastRound(now time.Time) {
	if n.roundUnsent {
		return
	}
	n.round++
	n.roundUnsent = true
	n.openRounds = append(n.openRounds, roundStart{n.round, now})
	n.heartbeatDue = now.Add(n.cfg.HeartbeatInterval)
	n.replicateAll(true)
	n.advanceRound()
}

// advanceRound renews the lease from the start of the last round that a
// majority has answered, and completes the reads that waited for it.
func (n *Node) advanceRound() {
	round := n.quorumValue(n.round, func(p *progress) uint64 { return p.lastRound })
	for len(n.openRounds) > 0 && n.openRounds[0].round <= round {
		n.leaseStart = n.openRounds[0].startedAt
		n.openRounds = n.openRounds[1:]
	}
	remaining := n.reads[:0:0]
	for _, r := range n.reads {
		if r.round <= round {
			n.finishRead(r, true)
			continue
		}
		remaining = append(remaining, r)
	}
	n.reads = remaining
}
