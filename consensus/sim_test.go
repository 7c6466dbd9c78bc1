package consensus

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand"
	"slices"
	"time"
)

// The simulator runs a few nodes with a simulated network, disks and clocks in
// one goroutine. A run is determined by its seed.

// simFaults selects protocol faults that the checker must detect.
type simFaults struct {
	forgetVote    bool // a voter votes again in the same term
	ackUnsynced   bool // messages are sent before the sync
	keepStorageID bool // a lost disk keeps its storage id
}

const (
	simElectionTimeout   = 100 * time.Millisecond
	simHeartbeatInterval = 20 * time.Millisecond
	simMaxClockDrift     = 0.1
	simStepInterval      = 5 * time.Millisecond
	// simFaultSteps run with faults, then simRecoverySteps without them.
	simFaultSteps    = 300
	simRecoverySteps = 140
)

// simEvent is a kind of fault or request. Each seed draws a weight for each
// kind, so that some schedules consist of a few kinds in rare combinations.
type simEvent int

const (
	simCrash simEvent = iota
	simPause
	simBlockLink
	simIsolate
	simUnblockLinks
	simLoseDisk
	simStopVoting
	simPropose
	simRead
	simMemberChange
	simTransfer
	simSnapshot
	simDropMessage
	simDelayMessage
	simEventCount
)

var simEventWeights = [...]float64{0, 1, 1, 5}

type simHost struct {
	id             NodeID
	node           *Node
	disk           simDisk
	clock          time.Time
	clockRateError float64
	resumeAt       time.Time // a paused or crashed host runs again at this time
	crashed        bool
	diskLost       bool // the disk was lost and the host is not yet a voter again
	volatile       bool
	applied        uint64
	stateHash      uint64
	reads          map[ReadID]uint64
}

// simDisk is the state that survives a crash.
type simDisk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (d *simDisk) save(out Output) {
	if out.HardChanged {
		d.hard = out.Hard
	}
	if out.Snapshot != nil {
		d.snapshot, d.entries = *out.Snapshot, nil
	}
	for _, e := range out.Entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].Index >= e.Index {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(d.entries, e)
	}
}

type simMessage struct {
	deliverAt time.Time
	message   Message
}

type sim struct {
	rng          *rand.Rand
	faults       simFaults
	now          time.Time
	hosts        []*simHost
	inTransit    []simMessage
	blockedLinks map[[2]string]bool
	faultFree    bool
	eventWeights [simEventCount]float64
	err          error

	// State of the checker: each entry that any node has applied, the hash of
	// the state after it, and the leader of each term.
	appliedLog  []Entry
	stateHashes []uint64
	leaders     map[uint64]NodeID
	counts      map[string]int
}

// violation records the first violated invariant of the run.
func (s *sim) violation(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// eventOccurs draws whether an event occurs, given its base probability.
func (s *sim) eventOccurs(kind simEvent, p float64) bool { return s.chance(p * s.eventWeights[kind]) }

func (s *sim) chance(p float64) bool { return !s.faultFree && s.rng.Float64() < p }

func newSim(seed int64, voters int, faults simFaults) *sim {
	s := &sim{rng: rand.New(rand.NewSource(seed)), faults: faults, now: time.Unix(0, 0), blockedLinks: map[[2]string]bool{},
		leaders: map[uint64]NodeID{}, appliedLog: make([]Entry, 2), stateHashes: make([]uint64, 2), counts: map[string]int{}}
	for kind := range s.eventWeights {
		s.eventWeights[kind] = simEventWeights[s.rng.Intn(len(simEventWeights))]
	}
	s.eventWeights[simPropose] = max(1, s.eventWeights[simPropose])
	meta := SnapshotMeta{Index: 1, Term: 1}
	for i := 0; i <= voters; i++ {
		h := &simHost{id: NodeID{Instance: fmt.Sprintf("h%d", i), Storage: uint64(i + 1)},
			clock: time.Unix(s.rng.Int63n(3600), 0)}
		s.hosts = append(s.hosts, h)
		if i < voters {
			meta.Members.Voters = append(meta.Members.Voters, h.id)
		}
	}
	for i, h := range s.hosts {
		if i < voters {
			h.disk.snapshot = Snapshot{Meta: meta, Data: encodeStateHash(0)}
		}
		s.start(h)
	}
	return s
}

func encodeStateHash(hash uint64) []byte { return binary.BigEndian.AppendUint64(nil, hash) }

func (s *sim) start(h *simHost) {
	cfg := Config{ID: h.id, ElectionTimeout: simElectionTimeout, HeartbeatInterval: simHeartbeatInterval, MaxClockDrift: simMaxClockDrift,
		MaxBatchBytes: 40, MaxInFlight: 4, MaxPendingBytes: 400, Seed: s.rng.Int63(), Volatile: h.volatile}
	node, err := New(cfg, Persisted{Hard: h.disk.hard, Snapshot: h.disk.snapshot.Meta, Entries: slices.Clone(h.disk.entries)}, h.clock)
	if err != nil {
		s.violation("restart of %s: %v", h.id, err)
		return
	}
	h.node, h.crashed, h.reads = node, false, map[ReadID]uint64{}
	h.applied, h.stateHash = 0, 0
	s.restore(h, h.disk.snapshot)
}

func (s *sim) restore(h *simHost, snapshot Snapshot) {
	if snapshot.Meta.Index == 0 {
		return
	}
	h.applied, h.stateHash = snapshot.Meta.Index, binary.BigEndian.Uint64(snapshot.Data)
	if h.applied >= uint64(len(s.stateHashes)) || s.stateHashes[h.applied] != h.stateHash {
		s.violation("%s restored a state at %d that no node had", h.id, h.applied)
	}
}

// crash stops a host. Its disk keeps the synced state.
func (s *sim) crash(h *simHost) {
	s.counts["crash"]++
	h.crashed = true
	h.resumeAt = s.now.Add(time.Duration(s.rng.Int63n(int64(4 * simElectionTimeout))))
}

// processOutputs performs the work of a host's outputs, with crashes before and
// after the sync.
func (s *sim) processOutputs(h *simHost) {
	for !h.crashed && s.err == nil {
		out := h.node.Ready()
		if out.Empty() {
			return
		}
		s.sendAll(h, out.Appends)
		if s.faults.ackUnsynced {
			s.sendAll(h, out.Messages)
		}
		if out.MustSync && s.eventOccurs(simCrash, 0.003) {
			s.crash(h)
			return
		}
		if !h.volatile {
			h.disk.save(out)
		}
		if s.eventOccurs(simCrash, 0.001) {
			s.crash(h)
			return
		}
		if !s.faults.ackUnsynced {
			s.sendAll(h, out.Messages)
		}
		if out.Snapshot != nil {
			s.counts["snapshot installed"]++
			s.restore(h, *out.Snapshot)
		}
		for _, e := range out.Committed {
			s.apply(h, e)
		}
		for _, r := range out.Reads {
			if at, ok := h.reads[r.ID]; ok && r.OK {
				s.counts["read"]++
				if r.Index < at {
					s.violation("stale read: %s read at entry %d after entry %d was applied", h.id, r.Index, at)
				}
			}
			delete(h.reads, r.ID)
		}
		h.node.Advance(out)
		s.checkLeader(h)
	}
}

// checkLeader checks that a term has at most one leader.
func (s *sim) checkLeader(h *simHost) {
	if h.node.role != Leader {
		return
	}
	if other, ok := s.leaders[h.node.term]; ok && other != h.id {
		s.violation("%s and %s are both leader in term %d", h.id, other, h.node.term)
	}
	s.leaders[h.node.term] = h.id
}

// apply checks that all nodes apply the same entry at each index, without gaps.
// An applied entry counts as acknowledged.
func (s *sim) apply(h *simHost, e Entry) {
	if e.Index != h.applied+1 {
		s.violation("%s applied entry %d after entry %d", h.id, e.Index, h.applied)
		return
	}
	hash := fnv.New64a()
	fmt.Fprint(hash, h.stateHash, e.Index, e.Term, e.Kind, string(e.Data))
	h.applied, h.stateHash = e.Index, hash.Sum64()
	if e.Index == uint64(len(s.appliedLog)) {
		s.appliedLog, s.stateHashes = append(s.appliedLog, e), append(s.stateHashes, h.stateHash)
		return
	}
	if s.stateHashes[e.Index] != h.stateHash {
		s.violation("%s applied entry %d of term %d, another node applied entry %d of term %d", h.id, e.Index, e.Term, e.Index, s.appliedLog[e.Index].Term)
	}
}

func (s *sim) sendAll(h *simHost, messages []Message) {
	for _, m := range messages {
		if m.Type == MsgSnapshot {
			if h.disk.snapshot.Meta.Index == 0 || s.chance(0.1) {
				m.Snapshot = &Snapshot{Meta: m.Snapshot.Meta} // an offer without data
			} else {
				m.Snapshot = &Snapshot{Meta: h.disk.snapshot.Meta, Data: h.disk.snapshot.Data}
			}
		}
		if s.blockedLinks[[2]string{m.From.Instance, m.To.Instance}] || s.eventOccurs(simDropMessage, 0.03) {
			continue
		}
		for copies := 1; copies > 0; copies-- {
			delay := time.Duration(s.rng.Int63n(int64(2 * simStepInterval)))
			if s.eventOccurs(simDelayMessage, 0.03) {
				delay = time.Duration(s.rng.Int63n(int64(3 * simElectionTimeout)))
			}
			if copies == 1 && s.chance(0.03) {
				copies = 2
			}
			s.inTransit = append(s.inTransit, simMessage{s.now.Add(delay), m})
		}
	}
}

func (s *sim) deliverMessages() {
	var due []Message
	s.inTransit = slices.DeleteFunc(s.inTransit, func(d simMessage) bool {
		h := s.host(d.message.To.Instance)
		if d.deliverAt.After(s.now) || !h.crashed && h.resumeAt.After(s.now) {
			return false
		}
		due = append(due, d.message)
		return true
	})
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		h := s.host(m.To.Instance)
		if h.crashed {
			continue
		}
		if s.faults.forgetVote && m.Type == MsgVote {
			h.node.vote = NodeID{}
		}
		if err := h.node.Step(h.clock, m); err != nil && err != ErrMisaddressed {
			s.violation("%s: %v", h.id, err)
		}
		s.processOutputs(h)
	}
}

func (s *sim) host(instance string) *simHost {
	for _, h := range s.hosts {
		if h.id.Instance == instance {
			return h
		}
	}
	return nil
}

// step advances the simulation by one interval.
func (s *sim) step() {
	s.now = s.now.Add(simStepInterval)
	for _, h := range s.hosts {
		if s.chance(0.02) {
			h.clockRateError = simMaxClockDrift * float64(s.rng.Intn(3)-1)
		}
		h.clock = h.clock.Add(time.Duration(float64(simStepInterval) * (1 + h.clockRateError)))
	}
	s.deliverMessages()
	for _, h := range s.hosts {
		if h.resumeAt.After(s.now) {
			continue
		}
		if h.crashed {
			s.start(h)
		}
		h.node.Tick(h.clock)
		s.processOutputs(h)
	}
	if !s.faultFree {
		s.injectEvents()
	}
}

// injectEvents applies at most one random fault to a host and lets the running
// hosts issue random requests.
func (s *sim) injectEvents() {
	h := s.hosts[s.rng.Intn(len(s.hosts))]
	if s.chance(0.3) {
		// Faults of the leader exercise most of the protocol.
		h = slices.MaxFunc(s.hosts, func(a, b *simHost) int { return cmp.Compare(a.node.role, b.node.role) })
	}
	switch {
	case s.eventOccurs(simCrash, 0.008):
		s.crash(h)
	case s.eventOccurs(simPause, 0.02):
		h.resumeAt = s.now.Add(time.Duration(s.rng.Int63n(int64(4 * simElectionTimeout))))
	case s.eventOccurs(simBlockLink, 0.02):
		from, to := s.hosts[s.rng.Intn(len(s.hosts))], s.hosts[s.rng.Intn(len(s.hosts))]
		s.blockedLinks[[2]string{from.id.Instance, to.id.Instance}] = true
	case s.eventOccurs(simIsolate, 0.02):
		for _, other := range s.hosts {
			s.blockedLinks[[2]string{h.id.Instance, other.id.Instance}] = true
			s.blockedLinks[[2]string{other.id.Instance, h.id.Instance}] = s.rng.Intn(2) == 0
		}
	case s.eventOccurs(simUnblockLinks, 0.03):
		clear(s.blockedLinks)
	case s.eventOccurs(simLoseDisk, 0.004):
		s.loseDisk(h)
	case s.eventOccurs(simStopVoting, 0.003) && !h.crashed && !h.diskLost:
		h.volatile = true
		h.node.StopVoting(h.clock)
	}
	if s.chance(0.01) && h.volatile && h.crashed {
		h.volatile = false // the disk works again and holds the synced state
	}
	for _, h := range s.hosts {
		if !h.crashed && !h.resumeAt.After(s.now) {
			s.issueRequests(h)
			s.processOutputs(h)
		}
	}
}

// issueRequests sends random requests to a host.
func (s *sim) issueRequests(h *simHost) {
	now := h.clock
	if s.eventOccurs(simPropose, 0.2) {
		_, _, _ = h.node.Propose(now, []byte(fmt.Sprint(s.rng.Intn(1000))))
	}
	if s.eventOccurs(simRead, 0.2) {
		s.read(h)
	}
	if s.eventOccurs(simMemberChange, 0.05) {
		s.changeMembers(h, now)
	}
	if s.eventOccurs(simTransfer, 0.01) {
		_ = h.node.TransferLeadership(now, s.hosts[s.rng.Intn(len(s.hosts))].id)
	}
	if s.eventOccurs(simSnapshot, 0.03) && h.applied > h.disk.snapshot.Meta.Index && !h.volatile {
		s.snapshot(h)
	}
}

// snapshot stores a snapshot and drops most of the entries that it covers.
func (s *sim) snapshot(h *simHost) {
	meta, err := h.node.SnapshotMeta(h.applied)
	if err == nil {
		err = h.node.Compact(meta.Index-uint64(s.rng.Intn(3)), meta)
	}
	if err != nil {
		s.violation("%s: snapshot at %d: %v", h.id, h.applied, err)
	}
	h.disk.snapshot = Snapshot{Meta: meta, Data: encodeStateHash(h.stateHash)}
	h.disk.entries = slices.DeleteFunc(h.disk.entries, func(e Entry) bool { return e.Index <= meta.Index })
}

// read starts a read that must include every entry that any node has applied.
func (s *sim) read(h *simHost) {
	if id, err := h.node.ReadIndex(h.clock); err == nil {
		h.reads[id] = uint64(len(s.appliedLog) - 1)
	}
	s.processOutputs(h)
}

// changeMembers proposes a voter change: the removal of a voter whose disk was
// lost, if there is one, or else a random change.
func (s *sim) changeMembers(h *simHost, now time.Time) {
	members := h.node.Status().Members
	target := s.hosts[s.rng.Intn(len(s.hosts))]
	for _, id := range members.Voters {
		if s.host(id.Instance).id != id {
			_, _, _ = h.node.ProposeVoterChange(now, VoterChange{RemoveMember, id})
			return
		}
	}
	kinds := []VoterChangeKind{AddLearner, PromoteLearner}
	if len(members.Voters) > 3 {
		kinds = append(kinds, RemoveMember)
	}
	if _, _, err := h.node.ProposeVoterChange(now, VoterChange{kinds[s.rng.Intn(len(kinds))], target.id}); err == nil {
		s.counts["voter change"]++
	}
}

// loseDisk replaces a host's disk by an empty one. It does nothing while any
// host is down, volatile or not yet a voter again, because the log makes no
// guarantees beyond one lost disk.
func (s *sim) loseDisk(h *simHost) {
	for _, other := range s.hosts {
		if other.crashed || other.diskLost || other.volatile {
			return
		}
	}
	s.counts["disk lost"]++
	s.crash(h)
	h.disk, h.diskLost = simDisk{}, true
	if !s.faults.keepStorageID {
		h.id.Storage += 100
	}
}

// updateLostDisks clears diskLost on hosts that all running nodes list as
// voters again.
func (s *sim) updateLostDisks() {
	for _, h := range s.hosts {
		if h.diskLost && !slices.ContainsFunc(s.hosts, func(o *simHost) bool {
			return o.crashed || !slices.Contains(o.node.Status().Members.Voters, h.id)
		}) {
			h.diskLost = false
		}
	}
}

// run executes one schedule and then checks that the log recovers after the
// faults end.
func (s *sim) run() error {
	for i := 0; i < simFaultSteps && s.err == nil; i++ {
		s.step()
		s.updateLostDisks()
	}
	s.faultFree = true
	clear(s.blockedLinks)
	for _, h := range s.hosts {
		h.resumeAt = s.now
		if h.volatile {
			h.volatile, h.crashed = false, true
		}
	}
	appliedBefore := len(s.appliedLog)
	for i := 0; i < simRecoverySteps && s.err == nil; i++ {
		s.step()
		for _, h := range s.hosts {
			if i%20 == 0 && h.node.role == Leader {
				_, _, _ = h.node.Propose(h.clock, []byte("last"))
			}
		}
	}
	if s.err == nil && len(s.appliedLog) == appliedBefore {
		s.violation("nothing was committed after the faults ended")
	}
	// A removed host does not learn of its removal, so the voters are taken from
	// the host that has applied the most entries.
	members := slices.MaxFunc(s.hosts, func(a, b *simHost) int { return cmp.Compare(a.applied, b.applied) }).node.Status().Members
	for _, h := range s.hosts {
		if s.err == nil && slices.Contains(members.Voters, h.id) && h.applied+1 < uint64(len(s.appliedLog)) {
			s.violation("%s applied %d of %d entries", h.id, h.applied, len(s.appliedLog)-1)
		}
	}
	return s.err
}
