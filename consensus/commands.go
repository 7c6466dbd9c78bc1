package consensus

import (
	"math/rand"
	"time"
)

// Node is one member of the log. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	rng  *rand.Rand
	role Role
	term uint64
	vote NodeID
	// savedHardState is the HardState that the caller last reported as stored.
	savedHardState  HardState
	leader          NodeID
	log             entryLog
	snapshot        SnapshotMeta
	pendingSnapshot *Snapshot
	commit          uint64
	applied         uint64
	volatile        bool

	// leaderContact is the time of the last contact with a leader. No vote is
	// granted for an ElectionTimeout after it.
	leaderContact    time.Time
	electionDeadline time.Time
	heartbeatDue     time.Time
	votes            []NodeID

	peers            []*progress // members other than this one, in membership order
	pendingBytes     int
	round            uint64
	roundUnsent      bool // Ready has not yet returned the messages of the current round
	openRounds       []roundStart
	leaseStart       time.Time
	leaseRevoked     bool
	transferee       NodeID
	transferDeadline time.Time

	nextRead ReadID
	reads    []pendingRead
	results  []ReadResult
	messages []Message
	appends  []Message
}

// New returns a node that continues from persisted state.
func New(cfg Config, st Persisted, now time.Time) (*Node, error) {
	cfg = cfg.withDefaults()
	n := &Node{cfg: cfg, rng: rand.New(rand.NewSource(cfg.Seed)), volatile: cfg.Volatile,
		term: st.Hard.Term, vote: st.Hard.Vote, savedHardState: st.Hard, snapshot: st.Snapshot}
	n.log.reset(st.Snapshot)
	for _, e := range st.Entries {
		if e.Index <= st.Snapshot.Index {
			continue
		}
		if e.Index != n.log.last()+1 {
			return nil, ErrInvalidState
		}
		if err := n.log.append(e); err != nil {
			return nil, err
		}
	}
	if n.log.lastTerm() > n.term {
		// An installed snapshot is stored before the hard state of the same
		// Output, and the crash came in between. The stored vote belongs to an
		// earlier term.
		n.term, n.vote = n.log.lastTerm(), NodeID{}
	}
	n.log.stable = n.log.last()
	// Read ids must not repeat after a restart, because responses to earlier
	// reads may still arrive.
	n.nextRead = ReadID(n.rng.Uint64() >> 1)
	n.applied = st.Snapshot.Index
	n.commit = max(st.Snapshot.Index, min(st.Hard.Commit, n.log.last()))
	// A leader's lease may still rely on a response sent before the restart, so
	// the node waits as if it had just heard from a leader. A sole voter need not
	// wait: a leader never removes itself, so no other leader can exist.
	n.leaderContact = now
	n.resetElection(now)
	if n.isSoleVoter() {
		n.electionDeadline = now
	}
	return n, nil
}

// Tick handles timeouts: elections, heartbeats, the leader's quorum check, and
// the expiry of reads and of a leadership transfer.
func (n *Node) Tick(now time.Time) {
	n.failExpiredReads(now)
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.electionDeadline) {
		return
	}
	n.resetElection(now)
	n.leader = NodeID{}
	n.failReads()
	if n.canCampaign() {
		n.campaign(now, true, false)
	}
}

func (n *Node) tickLeader(now time.Time) {
	if !n.hasQuorumContact(now) {
		n.becomeFollower(now, n.term, NodeID{})
		return
	}
	if !n.transferee.IsZero() && !now.Before(n.transferDeadline) {
		n.transferee = NodeID{}
	}
	if !now.Before(n.heartbeatDue) {
		n.broadcastRound(now)
	}
}

// Step handles a message from another member.
func (n *Node) Step(now time.Time, m Message) error {
	if m.To != n.cfg.ID {
		return ErrMisaddressed
	}
	if m.Type == MsgPreVote {
		n.handlePreVote(now, m)
		return nil
	}
	if m.Type == MsgVote && (n.volatile || !m.Force && n.leaderMayHoldLease(now)) {
		return nil
	}
	if m.Term < n.term {
		n.rejectStaleTerm(m)
		return nil
	}
	if m.Term > n.term && !(m.Type == MsgPreVoteResponse && !m.Reject) {
		n.becomeFollower(now, m.Term, NodeID{})
	}
	switch m.Type {
	case MsgPreVoteResponse, MsgVoteResponse:
		n.handleVoteResponse(now, m)
	case MsgVote:
		n.handleVote(now, m)
	case MsgAppend:
		n.recordLeaderContact(now, m.From)
		return n.handleAppend(m)
	case MsgSnapshot:
		n.recordLeaderContact(now, m.From)
		n.handleSnapshot(m)
	case MsgAppendResponse:
		n.handleAppendResponse(now, m)
	case MsgTimeoutNow:
		if n.canCampaign() && n.role != Leader {
			n.campaign(now, false, true)
		}
	case MsgReadIndex:
		n.handleReadIndex(now, m)
	case MsgReadIndexResponse:
		n.completeForwardedRead(ReadID(m.Read), m.Index, !m.Reject)
	}
	return nil
}

// rejectStaleTerm answers a message of an earlier term with the current term,
// so that a former leader steps down.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgSnapshot:
		n.send(Message{Type: MsgAppendResponse, To: m.From, Term: n.term, Reject: true, Volatile: n.volatile})
	case MsgVote:
		n.send(Message{Type: MsgVoteResponse, To: m.From, Term: n.term, Reject: true})
	case MsgReadIndex:
		n.send(Message{Type: MsgReadIndexResponse, To: m.From, Term: n.term, Read: m.Read, Reject: true})
	}
}

// Propose appends a command to the leader's log. The command is committed once
// the entry applied at the returned index has the returned term.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	if err := n.checkAcceptsCommands(); err != nil {
		return 0, 0, err
	}
	if n.pendingBytes > 0 && n.pendingBytes+len(data) > n.cfg.MaxPendingBytes {
		return 0, 0, ErrOverloaded
	}
	return n.appendToLog(EntryCommand, data)
}

func (n *Node) checkAcceptsCommands() error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if !n.transferee.IsZero() {
		return ErrTransferring
	}
	return nil
}

func (n *Node) appendToLog(kind EntryKind, data []byte) (index, term uint64, err error) {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	if err := n.log.append(e); err != nil {
		return 0, 0, err
	}
	n.pendingBytes += len(data)
	return e.Index, e.Term, nil
}

// StopVoting makes the node volatile after a disk failure: it gives up
// leadership or candidacy, never votes again, and keeps replicating the log in
// memory. Later Outputs need not be made durable.
func (n *Node) StopVoting(now time.Time) {
	n.volatile = true
	n.messages, n.appends = nil, nil
	if n.role != Follower {
		n.becomeFollower(now, n.term, NodeID{})
	}
}

// Ready returns the pending work. Messages and read results are returned once;
// state to store and entries to apply are returned until Advance confirms them.
func (n *Node) Ready() Output {
	if n.role == Leader {
		n.replicateAll(false)
	}
	hard := HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
	out := Output{Appends: n.appends, Messages: n.messages, Reads: n.results, Hard: hard,
		HardChanged: hard != n.savedHardState, Snapshot: n.pendingSnapshot,
		Entries:   n.log.slice(max(n.log.stable, n.log.offset), n.log.last()),
		Committed: n.log.slice(n.applied, min(n.commit, n.log.stable))}
	out.MustSync = hard.Term != n.savedHardState.Term || hard.Vote != n.savedHardState.Vote ||
		out.Snapshot != nil || len(out.Entries) > 0
	n.appends, n.messages, n.results, n.roundUnsent = nil, nil, nil, false
	return out
}

// Advance confirms that the caller has completed the work of an Output.
func (n *Node) Advance(done Output) {
	if done.HardChanged {
		n.savedHardState = done.Hard
	}
	if done.Snapshot != nil && done.Snapshot == n.pendingSnapshot {
		n.pendingSnapshot = nil
	}
	if count := len(done.Entries); count > 0 {
		last := done.Entries[count-1]
		if term, ok := n.log.term(last.Index); ok && term == last.Term {
			n.log.stable = max(n.log.stable, last.Index)
		}
	}
	if count := len(done.Committed); count > 0 {
		n.applied = max(n.applied, done.Committed[count-1].Index)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact records a snapshot that the caller has stored and drops the entries
// up to index. An index below the snapshot's keeps entries for members that lag
// slightly behind.
func (n *Node) Compact(index uint64, snapshot SnapshotMeta) error {
	if snapshot.Index > n.applied || index > snapshot.Index {
		return ErrCompacted
	}
	if snapshot.Index > n.snapshot.Index {
		n.snapshot = snapshot
	}
	if index <= n.log.offset {
		return nil
	}
	return n.log.compact(index)
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Type == MsgAppend || m.Type == MsgSnapshot {
		n.appends = append(n.appends, m)
		return
	}
	n.messages = append(n.messages, m)
}
