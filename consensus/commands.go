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
	// savedHard is the HardState that the caller has stored.
	savedHard HardState
	leader    NodeID
	log       entryLog
	snapshot  SnapshotMeta
	install   *Snapshot
	commit    uint64
	applied   uint64
	volatile  bool

	// leaderContact is when a leader was last heard; votes are withheld for an
	// ElectionTimeout after it.
	leaderContact    time.Time
	electionDeadline time.Time
	heartbeatDue     time.Time
	votes            []NodeID

	peers         []*progress // members other than this one, in membership order
	pendingBytes  int
	round         uint64
	roundUnsent   bool // no message of the current round has left yet
	rounds        []roundStart
	leaseStart    time.Time
	leaseRevoked  bool
	transferee    NodeID
	transferUntil time.Time

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
		term: st.Hard.Term, vote: st.Hard.Vote, savedHard: st.Hard, snapshot: st.Snapshot}
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
		// A snapshot is stored before the hard state that comes with it. The
		// vote belongs to the earlier term.
		n.term, n.vote = n.log.lastTerm(), NodeID{}
	}
	n.log.stable = n.log.last()
	// A restart must not reuse the ids of reads whose answers may still arrive.
	n.nextRead = ReadID(n.rng.Uint64() >> 1)
	n.applied = st.Snapshot.Index
	n.commit = max(st.Snapshot.Index, min(st.Hard.Commit, n.log.last()))
	// A vote before the restart may still protect a leader's lease, so that the
	// node waits as if it had just heard from a leader. A sole voter protects
	// no other leader, because a leader never removes itself.
	n.leaderContact = now
	n.resetElection(now)
	if n.soleVoter() {
		n.electionDeadline = now
	}
	return n, nil
}

// Tick lets time pass: elections, heartbeats, check-quorum and the end of a
// leadership transfer.
func (n *Node) Tick(now time.Time) {
	n.expireReads(now)
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
	if n.mayCampaign() {
		n.campaign(now, true, false)
	}
}

func (n *Node) tickLeader(now time.Time) {
	if !n.quorumHeard(now) {
		n.becomeFollower(now, n.term, NodeID{})
		return
	}
	if !n.transferee.IsZero() && !now.Before(n.transferUntil) {
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
	if m.Type == MsgVote && (n.volatile || !m.Force && n.leaderAlive(now)) {
		return nil
	}
	if m.Term < n.term {
		n.refuseStale(m)
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
		n.followLeader(now, m.From)
		return n.handleAppend(m)
	case MsgSnapshot:
		n.followLeader(now, m.From)
		n.handleSnapshot(m)
	case MsgAppendResponse:
		n.handleAppendResponse(now, m)
	case MsgTimeoutNow:
		if n.mayCampaign() && n.role != Leader {
			n.campaign(now, false, true)
		}
	case MsgReadIndex:
		n.handleReadIndex(now, m)
	case MsgReadIndexResponse:
		n.completeRead(ReadID(m.Read), m.Index, !m.Reject)
	}
	return nil
}

// refuseStale tells the sender of an old term about the current one, so that
// an old leader steps down.
func (n *Node) refuseStale(m Message) {
	switch m.Type {
	case MsgAppend, MsgSnapshot:
		n.send(Message{Type: MsgAppendResponse, To: m.From, Term: n.term, Reject: true, Volatile: n.volatile})
	case MsgVote:
		n.send(Message{Type: MsgVoteResponse, To: m.From, Term: n.term, Reject: true})
	case MsgReadIndex:
		n.send(Message{Type: MsgReadIndexResponse, To: m.From, Term: n.term, Read: m.Read, Reject: true})
	}
}

// Propose appends a command to the leader's log. The command is committed only
// when an entry with the returned index and term is applied.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	if err := n.acceptsCommands(); err != nil {
		return 0, 0, err
	}
	if n.pendingBytes > 0 && n.pendingBytes+len(data) > n.cfg.MaxPendingBytes {
		return 0, 0, ErrOverloaded
	}
	return n.appendOwn(EntryCommand, data)
}

func (n *Node) acceptsCommands() error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if !n.transferee.IsZero() {
		return ErrTransferring
	}
	return nil
}

func (n *Node) appendOwn(kind EntryKind, data []byte) (index, term uint64, err error) {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	if err := n.log.append(e); err != nil {
		return 0, 0, err
	}
	n.pendingBytes += len(data)
	return e.Index, e.Term, nil
}

// StopVoting makes the node volatile after a failure of its disk: it gives up
// leadership and candidacy, never votes again, and keeps following the log in
// memory. Outputs taken from now on need no sync.
func (n *Node) StopVoting(now time.Time) {
	n.volatile = true
	n.messages, n.appends = nil, nil
	if n.role != Follower {
		n.becomeFollower(now, n.term, NodeID{})
	}
}

// Ready returns the work to do. Messages and read results are returned once;
// state to store and entries to apply are returned again until Advance.
func (n *Node) Ready() Output {
	if n.role == Leader {
		n.replicateAll(false)
	}
	hard := HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
	out := Output{Appends: n.appends, Messages: n.messages, Reads: n.results, Hard: hard,
		HardChanged: hard != n.savedHard, Snapshot: n.install,
		Entries:   n.log.slice(max(n.log.stable, n.log.offset), n.log.last()),
		Committed: n.log.slice(n.applied, min(n.commit, n.log.stable))}
	out.MustSync = hard.Term != n.savedHard.Term || hard.Vote != n.savedHard.Vote ||
		out.Snapshot != nil || len(out.Entries) > 0
	n.appends, n.messages, n.results, n.roundUnsent = nil, nil, nil, false
	return out
}

// Advance reports that the work of an Output is done.
func (n *Node) Advance(done Output) {
	if done.HardChanged {
		n.savedHard = done.Hard
	}
	if done.Snapshot != nil && done.Snapshot == n.install {
		n.install = nil
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
// up to index, which may be lower than the snapshot's to keep some for members
// that are only a little behind.
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
