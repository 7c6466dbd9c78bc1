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

// The simulator runs a few nodes on a fake network, fake disks and fake clocks
// in one goroutine. Everything that happens follows from the seed.

type simFaults struct {
	forgetVote    bool // a voter votes again in the same term
	ackUnsynced   bool // messages leave before the sync
	keepStorageID bool // a lost disk keeps its storage id
}

const (
	simElection  = 100 * time.Millisecond
	simHeartbeat = 20 * time.Millisecond
	simDrift     = 0.1
	simStep      = 5 * time.Millisecond
	simSteps     = 300
	simSettle    = 140
)

// simKind is a kind of disturbance. Each seed draws how often each one occurs,
// so that some schedules consist of few kinds in rare combinations.
type simKind int

const (
	simCrash simKind = iota
	simPause
	simCut
	simIsolate
	simHeal
	simLoseDisk
	simStopVoting
	simPropose
	simRead
	simChange
	simTransfer
	simSnapshot
	simDrop
	simDelay
	simKinds
)

var simWeights = [...]float64{0, 1, 1, 5}

type simHost struct {
	id       NodeID
	node     *Node
	disk     simDisk
	clock    time.Time
	rate     float64
	wake     time.Time // a paused or stopped host runs again at this time
	crashed  bool
	lost     bool // the disk was lost and the host is not a voter again yet
	volatile bool
	applied  uint64
	sum      uint64
	reads    map[ReadID]uint64
}

// simDisk is what survives a crash.
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
	at time.Time
	m  Message
}

type sim struct {
	rng     *rand.Rand
	faults  simFaults
	now     time.Time
	hosts   []*simHost
	network []simMessage
	cut     map[[2]string]bool
	calm    bool
	weights [simKinds]float64
	err     error

	// The checker's knowledge: the entry and the sum over all entries at each
	// index that any node has applied, and the leader of each term.
	log     []Entry
	sums    []uint64
	leaders map[uint64]NodeID
	counts  map[string]int
}

func (s *sim) violation(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// happens decides about a disturbance with a base probability.
func (s *sim) happens(kind simKind, p float64) bool { return s.chance(p * s.weights[kind]) }

func (s *sim) chance(p float64) bool { return !s.calm && s.rng.Float64() < p }

func newSim(seed int64, voters int, faults simFaults) *sim {
	s := &sim{rng: rand.New(rand.NewSource(seed)), faults: faults, now: time.Unix(0, 0), cut: map[[2]string]bool{},
		leaders: map[uint64]NodeID{}, log: make([]Entry, 2), sums: make([]uint64, 2), counts: map[string]int{}}
	for kind := range s.weights {
		s.weights[kind] = simWeights[s.rng.Intn(len(simWeights))]
	}
	s.weights[simPropose] = max(1, s.weights[simPropose])
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
			h.disk.snapshot = Snapshot{Meta: meta, Data: encodeSum(0)}
		}
		s.start(h)
	}
	return s
}

func encodeSum(sum uint64) []byte { return binary.BigEndian.AppendUint64(nil, sum) }

func (s *sim) start(h *simHost) {
	cfg := Config{ID: h.id, ElectionTimeout: simElection, HeartbeatInterval: simHeartbeat, MaxClockDrift: simDrift,
		MaxBatchBytes: 40, MaxInFlight: 4, MaxPendingBytes: 400, Seed: s.rng.Int63(), Volatile: h.volatile}
	node, err := New(cfg, Persisted{Hard: h.disk.hard, Snapshot: h.disk.snapshot.Meta, Entries: slices.Clone(h.disk.entries)}, h.clock)
	if err != nil {
		s.violation("restart of %s: %v", h.id, err)
		return
	}
	h.node, h.crashed, h.reads = node, false, map[ReadID]uint64{}
	h.applied, h.sum = 0, 0
	s.restore(h, h.disk.snapshot)
}

func (s *sim) restore(h *simHost, snapshot Snapshot) {
	if snapshot.Meta.Index == 0 {
		return
	}
	h.applied, h.sum = snapshot.Meta.Index, binary.BigEndian.Uint64(snapshot.Data)
	if h.applied >= uint64(len(s.sums)) || s.sums[h.applied] != h.sum {
		s.violation("%s restored a state at %d that no one had", h.id, h.applied)
	}
}

// crash stops a host. Its disk keeps what was synced.
func (s *sim) crash(h *simHost) {
	s.counts["crash"]++
	h.crashed = true
	h.wake = s.now.Add(time.Duration(s.rng.Int63n(int64(4 * simElection))))
}

// work carries out a host's outputs, with crashes before and after the sync.
func (s *sim) work(h *simHost) {
	for !h.crashed && s.err == nil {
		out := h.node.Ready()
		if out.Empty() {
			return
		}
		s.sendAll(h, out.Appends)
		if s.faults.ackUnsynced {
			s.sendAll(h, out.Messages)
		}
		if out.MustSync && s.happens(simCrash, 0.003) {
			s.crash(h)
			return
		}
		if !h.volatile {
			h.disk.save(out)
		}
		if s.happens(simCrash, 0.001) {
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
					s.violation("%s read at %d, entry %d was applied before", h.id, r.Index, at)
				}
			}
			delete(h.reads, r.ID)
		}
		h.node.Advance(out)
		s.checkLeader(h)
	}
}

func (s *sim) checkLeader(h *simHost) {
	if h.node.role != Leader {
		return
	}
	if other, ok := s.leaders[h.node.term]; ok && other != h.id {
		s.violation("%s and %s lead in term %d", h.id, other, h.node.term)
	}
	s.leaders[h.node.term] = h.id
}

// apply checks that every node applies the same entry at an index, without
// gaps. An applied entry counts as acknowledged.
func (s *sim) apply(h *simHost, e Entry) {
	if e.Index != h.applied+1 {
		s.violation("%s applied %d after %d", h.id, e.Index, h.applied)
		return
	}
	hash := fnv.New64a()
	fmt.Fprint(hash, h.sum, e.Index, e.Term, e.Kind, string(e.Data))
	h.applied, h.sum = e.Index, hash.Sum64()
	if e.Index == uint64(len(s.log)) {
		s.log, s.sums = append(s.log, e), append(s.sums, h.sum)
		return
	}
	if s.sums[e.Index] != h.sum {
		s.violation("%s applied (%d, term %d), another node (%d, term %d)", h.id, e.Index, e.Term, e.Index, s.log[e.Index].Term)
	}
}

func (s *sim) sendAll(h *simHost, messages []Message) {
	for _, m := range messages {
		if m.Type == MsgSnapshot {
			if h.disk.snapshot.Meta.Index == 0 || s.chance(0.1) {
				m.Snapshot = &Snapshot{Meta: m.Snapshot.Meta} // only announced
			} else {
				m.Snapshot = &Snapshot{Meta: h.disk.snapshot.Meta, Data: h.disk.snapshot.Data}
			}
		}
		if s.cut[[2]string{m.From.Instance, m.To.Instance}] || s.happens(simDrop, 0.03) {
			continue
		}
		for copies := 1; copies > 0; copies-- {
			delay := time.Duration(s.rng.Int63n(int64(2 * simStep)))
			if s.happens(simDelay, 0.03) {
				delay = time.Duration(s.rng.Int63n(int64(3 * simElection)))
			}
			if copies == 1 && s.chance(0.03) {
				copies = 2
			}
			s.network = append(s.network, simMessage{s.now.Add(delay), m})
		}
	}
}

func (s *sim) deliver() {
	var due []Message
	s.network = slices.DeleteFunc(s.network, func(d simMessage) bool {
		h := s.host(d.m.To.Instance)
		if d.at.After(s.now) || !h.crashed && h.wake.After(s.now) {
			return false
		}
		due = append(due, d.m)
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
		s.work(h)
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

// step lets one interval pass.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	for _, h := range s.hosts {
		if s.chance(0.02) {
			h.rate = simDrift * float64(s.rng.Intn(3)-1)
		}
		h.clock = h.clock.Add(time.Duration(float64(simStep) * (1 + h.rate)))
	}
	s.deliver()
	for _, h := range s.hosts {
		if h.wake.After(s.now) {
			continue
		}
		if h.crashed {
			s.start(h)
		}
		h.node.Tick(h.clock)
		s.work(h)
	}
	if !s.calm {
		s.disturb()
	}
}

// disturb does at most a few random things to random hosts.
func (s *sim) disturb() {
	h := s.hosts[s.rng.Intn(len(s.hosts))]
	if s.chance(0.3) {
		// Faults of the leader are the ones that matter most.
		h = slices.MaxFunc(s.hosts, func(a, b *simHost) int { return cmp.Compare(a.node.role, b.node.role) })
	}
	switch {
	case s.happens(simCrash, 0.008):
		s.crash(h)
	case s.happens(simPause, 0.02):
		h.wake = s.now.Add(time.Duration(s.rng.Int63n(int64(4 * simElection))))
	case s.happens(simCut, 0.02):
		from, to := s.hosts[s.rng.Intn(len(s.hosts))], s.hosts[s.rng.Intn(len(s.hosts))]
		s.cut[[2]string{from.id.Instance, to.id.Instance}] = true
	case s.happens(simIsolate, 0.02):
		for _, other := range s.hosts {
			s.cut[[2]string{h.id.Instance, other.id.Instance}] = true
			s.cut[[2]string{other.id.Instance, h.id.Instance}] = s.rng.Intn(2) == 0
		}
	case s.happens(simHeal, 0.03):
		clear(s.cut)
	case s.happens(simLoseDisk, 0.004):
		s.loseDisk(h)
	case s.happens(simStopVoting, 0.003) && !h.crashed && !h.lost:
		h.volatile = true
		h.node.StopVoting(h.clock)
	}
	if s.chance(0.01) && h.volatile && h.crashed {
		h.volatile = false // the disk is back, with what was synced on it
	}
	for _, h := range s.hosts {
		if !h.crashed && !h.wake.After(s.now) {
			s.use(h)
			s.work(h)
		}
	}
}

// use makes random requests to a host.
func (s *sim) use(h *simHost) {
	now := h.clock
	if s.happens(simPropose, 0.2) {
		_, _, _ = h.node.Propose(now, []byte(fmt.Sprint(s.rng.Intn(1000))))
	}
	if s.happens(simRead, 0.2) {
		s.read(h)
	}
	if s.happens(simChange, 0.05) {
		s.changeMembers(h, now)
	}
	if s.happens(simTransfer, 0.01) {
		_ = h.node.TransferLeadership(now, s.hosts[s.rng.Intn(len(s.hosts))].id)
	}
	if s.happens(simSnapshot, 0.03) && h.applied > h.disk.snapshot.Meta.Index && !h.volatile {
		s.snapshot(h)
	}
}

// snapshot stores a snapshot and drops most entries that it covers.
func (s *sim) snapshot(h *simHost) {
	meta, err := h.node.SnapshotMeta(h.applied)
	if err == nil {
		err = h.node.Compact(meta.Index-uint64(s.rng.Intn(3)), meta)
	}
	if err != nil {
		s.violation("%s: snapshot at %d: %v", h.id, h.applied, err)
	}
	h.disk.snapshot = Snapshot{Meta: meta, Data: encodeSum(h.sum)}
	h.disk.entries = slices.DeleteFunc(h.disk.entries, func(e Entry) bool { return e.Index <= meta.Index })
}

// read starts a read that must include every entry applied so far.
func (s *sim) read(h *simHost) {
	if id, err := h.node.ReadIndex(h.clock); err == nil {
		h.reads[id] = uint64(len(s.log) - 1)
	}
	s.work(h)
}

// changeMembers proposes a random change, most often one that replaces an
// instance that lost its disk.
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

// loseDisk replaces a host's disk by an empty one. At most one lost disk is
// not replaced by a voter again, as the log promises nothing beyond that.
func (s *sim) loseDisk(h *simHost) {
	for _, other := range s.hosts {
		if other.crashed || other.lost || other.volatile {
			return
		}
	}
	s.counts["disk lost"]++
	s.crash(h)
	h.disk, h.lost = simDisk{}, true
	if !s.faults.keepStorageID {
		h.id.Storage += 100
	}
}

// noteVoters clears lost on hosts that are voters for everyone again.
func (s *sim) noteVoters() {
	for _, h := range s.hosts {
		if h.lost && !slices.ContainsFunc(s.hosts, func(o *simHost) bool {
			return o.crashed || !slices.Contains(o.node.Status().Members.Voters, h.id)
		}) {
			h.lost = false
		}
	}
}

// run executes one schedule and then checks that the log works once the
// faults end.
func (s *sim) run() error {
	for i := 0; i < simSteps && s.err == nil; i++ {
		s.step()
		s.noteVoters()
	}
	s.calm = true
	clear(s.cut)
	for _, h := range s.hosts {
		h.wake = s.now
		if h.volatile {
			h.volatile, h.crashed = false, true
		}
	}
	before := len(s.log)
	for i := 0; i < simSettle && s.err == nil; i++ {
		s.step()
		for _, h := range s.hosts {
			if i%20 == 0 && h.node.role == Leader {
				_, _, _ = h.node.Propose(h.clock, []byte("calm"))
			}
		}
	}
	if s.err == nil && len(s.log) == before {
		s.violation("nothing was committed after the faults ended")
	}
	// A host that was removed does not learn it, so that the most advanced
	// host tells who the voters are.
	last := slices.MaxFunc(s.hosts, func(a, b *simHost) int { return cmp.Compare(a.applied, b.applied) }).node.Status().Members
	for _, h := range s.hosts {
		if s.err == nil && slices.Contains(last.Voters, h.id) && h.applied+1 < uint64(len(s.log)) {
			s.violation("%s applied %d of %d entries", h.id, h.applied, len(s.log)-1)
		}
	}
	return s.err
}
