package placement

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
	"github.com/bluebellfield/bluebellfield/fleet"
)

// simulation simulates the engines of one service and the leader that sends
// them orders. It checks the invariants of package placement during the run.
type simulation struct {
	t       testing.TB
	random  *rand.Rand
	now     time.Time
	engines []*simEngine
	byID    map[string]*simEngine
	engine  *enginemodel.Engine
	planner *Planner
	table   *fleet.Table
	// generation numbers the leaders.
	generation uint64
	events     []simEvent
	// delayedOrderFraction is the fraction of orders that are not answered and are
	// executed seconds later.
	delayedOrderFraction float64
	// traffic is set when the entries report load, so that loads are limited.
	traffic bool
	// demand overrides the demand of models, in copies.
	demand map[string]float64
	// progressReportsLost is set while the progress reports of the entries do not
	// reach the leader.
	progressReportsLost bool
	// lateReportFraction is the fraction of reports that arrive seconds late.
	lateReportFraction float64
	// formerAddresses are addresses whose processes have ended.
	formerAddresses []string
	violation       string
	trace           []string
	orders          map[OrderKind]int
	// loads counts the loads that were ordered by engine and model.
	loads map[[2]string]int
}

type simEngine struct {
	id, domain  string
	address     string
	startMillis int64
	seq         uint64
	alive       bool
	// partitioned is set while a network partition separates the engine from the
	// leader.
	partitioned bool
	// partitionedUntil is the end of the last partition of its whole group.
	partitionedUntil time.Time
	draining         bool
	member           fleet.Membership
	members          []string
	model            string
	lastModel        string
	staged           []string
	epoch            uint64
	// joinedGroups holds the groups that the engine has joined in any incarnation.
	// A group may open after the undetected loss of a member that had joined.
	joinedGroups map[string]bool
	// transitionEnd is the end of the current transition, zero if there is none.
	transitionEnd time.Time
	// stalledSince is the time since which a head lacks a member. The group breaks
	// after simStallTime.
	stalledSince time.Time
	reported     time.Time
}

type simEvent struct {
	at     time.Time
	action func()
}

const (
	simStep      = 50 * time.Millisecond
	simStallTime = 6 * time.Second
	simService   = "s"
	simHeartbeat = 1200 * time.Millisecond
	// recordRetention is how long control instances keep a record without reports.
	recordRetention = 60 * time.Second
)

func testEngine() *enginemodel.Engine {
	return &enginemodel.Engine{Slots: 26, Stride: 6, Chunk: 2048, Step: 6450 * time.Microsecond, PerSequence: 97 * time.Microsecond,
		ReadRate: 56100, LoadsPerSecond: 5.5, MaxConcurrentLoads: 8, StagedModels: 1, FormTime: 300 * time.Millisecond,
		MeanPromptTokens: 1115, MeanAnswerTokens: 152, Models: []enginemodel.Model{
			{Name: "large", GroupSize: 6, TimeFactor: 1, DemandShare: 0.67, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
			{Name: "small", GroupSize: 3, TimeFactor: 0.6, DemandShare: 0.33, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
		}}
}

func newSimulation(t testing.TB, seed uint64, domains, perDomain int) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_000_000), byID: map[string]*simEngine{},
		engine: testEngine(), table: fleet.NewTable(), orders: map[OrderKind]int{}, loads: map[[2]string]int{}}
	for d := range domains {
		for n := range perDomain {
			id := fmt.Sprintf("i-%d-%02d", d, n)
			e := &simEngine{id: id, address: id, domain: fmt.Sprintf("d%d", d), startMillis: s.now.UnixMilli(), alive: true, joinedGroups: map[string]bool{}}
			s.engines = append(s.engines, e)
			s.byID[e.id] = e
		}
	}
	s.newLeader(false)
	return s
}

func (s *simulation) newLeader(loseReports bool) {
	if loseReports {
		s.table = fleet.NewTable()
	}
	s.generation++
	s.tracef("leader %d", s.generation)
	s.planner = New(Config{Generation: s.generation, HeartbeatInterval: simHeartbeat, StallTime: simStallTime, ColdStart: s.generation == 1, Engine: s.engine}, s.now)
}

func (s *simulation) after(d time.Duration, action func()) {
	s.events = append(s.events, simEvent{s.now.Add(d), action})
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		s.step()
	}
}

func (s *simulation) step() {
	due := s.events[:0:0]
	kept := s.events[:0]
	for _, e := range s.events {
		if e.at.After(s.now) {
			kept = append(kept, e)
		} else {
			due = append(due, e)
		}
	}
	s.events = kept
	slices.SortStableFunc(due, func(a, b simEvent) int { return a.at.Compare(b.at) })
	for _, e := range due {
		e.action()
	}
	for _, e := range s.engines {
		s.advance(e)
	}
	for _, e := range s.engines {
		if e.alive && !e.partitioned && s.now.Sub(e.reported) >= simHeartbeat {
			s.report(e)
		}
	}
	if s.now.UnixMilli()%100 == 0 {
		s.plan()
	}
}

// advance moves an engine through its member states.
func (s *simulation) advance(e *simEngine) {
	if !e.alive {
		return
	}
	switch e.member.State {
	case fleet.Joining:
		if !s.now.Before(e.transitionEnd) {
			e.member.State, e.transitionEnd = fleet.Formed, time.Time{}
			e.lastModel = e.model
			e.joinedGroups[groupID(e.member, e.members)] = true
			s.report(e)
		}
	case fleet.Formed:
		if !e.transitionEnd.IsZero() && !s.now.Before(e.transitionEnd) && e.member.Rank == 0 {
			e.transitionEnd = time.Time{}
			e.member.State = fleet.Open
			s.checkOpen(e)
			s.report(e)
		}
	case fleet.Closing:
		if !s.now.Before(e.transitionEnd) {
			e.transitionEnd = time.Time{}
			e.member.State = fleet.Formed
			s.report(e)
		}
	}
	if e.member.Rank == 0 && (e.member.State == fleet.Open || e.member.State == fleet.Closing) {
		if s.complete(e) {
			e.stalledSince = time.Time{}
			return
		}
		if e.stalledSince.IsZero() {
			e.stalledSince = s.now
			s.reportStall(e)
		}
		if s.now.Sub(e.stalledSince) >= simStallTime {
			e.member.State = fleet.Broken
			s.report(e)
		}
	}
}

func groupID(m fleet.Membership, members []string) string {
	return fmt.Sprintf("%s/%d/%s", m.Group, m.Epoch, strings.Join(members, ","))
}

// complete reports whether all members of a head's group are present.
func (s *simulation) complete(head *simEngine) bool {
	for _, id := range head.members {
		m := s.byID[id]
		if m == nil || !m.alive || m.member.Group != head.member.Group || m.member.Epoch != head.member.Epoch {
			return false
		}
	}
	return true
}

// reportStall reports a stalled group to the leader, as entries do.
func (s *simulation) reportStall(head *simEngine) {
	name, epoch := head.member.Group, head.member.Epoch
	for _, d := range []time.Duration{900, 1500, 2200, 3000} {
		s.after(d*time.Millisecond, func() {
			if !head.stalledSince.IsZero() && head.member.Group == name && head.member.State == fleet.Open {
				s.planner.ReportStall(s.now, name, epoch)
			}
		})
	}
}

// checkOpen checks that all members of a group have joined when it opens.
func (s *simulation) checkOpen(head *simEngine) {
	m := s.engine.Model(head.model)
	if m == nil || len(head.members) != m.GroupSize {
		s.failf("group %s opened with %d members of %s", head.member.Group, len(head.members), head.model)
		return
	}
	id := groupID(head.member, head.members)
	for _, other := range head.members {
		if !s.byID[other].joinedGroups[id] {
			s.failf("group %s opened although %s never joined it", head.member.Group, other)
		}
	}
}

// tracef adds a line to the trace of the run, which is printed on failure.
func (s *simulation) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%v: ", s.now.Sub(time.UnixMilli(1_000_000)))+fmt.Sprintf(format, args...))
}

// traceLines returns the last trace lines that contain one of the words.
func (s *simulation) traceLines(words ...string) string {
	var lines []string
	for _, line := range s.trace {
		if slices.ContainsFunc(words, func(word string) bool { return strings.Contains(line, word) }) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines[max(0, len(lines)-60):], "\n")
}

// failf records the first violation of an invariant.
func (s *simulation) failf(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("%v: ", s.now.Sub(time.UnixMilli(1_000_000))) + fmt.Sprintf(format, args...)
	}
}

// report sends an engine's report to the leader with a short delay.
func (s *simulation) report(e *simEngine) {
	e.seq++
	e.reported = s.now
	if e.partitioned {
		return
	}
	u := fleet.Upstream{ID: e.id, Service: simService, Address: e.address, FailureDomain: e.domain, FabricDomain: e.domain, StartMillis: e.startMillis, Sequence: e.seq,
		Model: e.model, Staged: slices.Clone(e.staged), Member: e.member}
	if e.draining {
		u.Phase = fleet.Draining
	}
	delay := time.Duration(s.random.IntN(20)) * time.Millisecond
	if s.lateReportFraction > 0 && s.random.Float64() < s.lateReportFraction {
		delay = time.Duration(s.random.IntN(8000)) * time.Millisecond
	}
	table := s.table
	s.after(delay, func() { table.Observe(s.now, u) })
}

func (s *simulation) plan() {
	if s.now.UnixMilli()%500 == 0 && !s.progressReportsLost {
		for _, e := range s.engines {
			if e.alive && e.member.Rank == 0 && e.member.State == fleet.Open && e.stalledSince.IsZero() {
				s.planner.ReportProgress(s.now, []string{e.member.Group})
			}
		}
	}
	for i := range s.engine.Models {
		if m := &s.engine.Models[i]; s.traffic {
			copies, ok := s.demand[m.Name]
			if !ok {
				copies = m.DemandShare * float64(len(s.engines)) / float64(m.GroupSize) / 1.2
			}
			s.planner.SetDemand(m.Name, copies)
		}
	}
	s.table.RemoveOlderThan(s.now.Add(-recordRetention))
	s.planner.Observe(s.now, slices.DeleteFunc(s.table.All(), func(u fleet.Upstream) bool { return u.Service != simService }))
	for _, o := range s.planner.Plan(s.now) {
		s.orders[o.Kind]++
		if o.Kind == Stage {
			s.loads[[2]string{o.Upstream, o.Model}]++
		}
		s.sendOrder(o)
	}
}

func (s *simulation) sendOrder(o Order) {
	planner := s.planner
	done := func(r Result) { planner.HandleResult(s.now, o, r) }
	e := s.byID[o.Upstream]
	switch {
	case e == nil || e.partitioned || !e.alive:
		r := []Result{NoAnswer, NotListening}[s.random.IntN(2)]
		s.after(300*time.Millisecond, func() { done(r) })
	case o.Kind != Probe && s.random.Float64() < s.delayedOrderFraction:
		late := time.Duration(2000+s.random.IntN(10000)) * time.Millisecond
		s.after(late, func() { s.execute(e, o) })
		s.after(500*time.Millisecond, func() { done(NoAnswer) })
	default:
		s.after(5*time.Millisecond, func() {
			r := s.execute(e, o)
			s.after(5*time.Millisecond, func() { done(r) })
		})
	}
}

// execute executes an order according to the protocol of the engines.
func (s *simulation) execute(e *simEngine, o Order) Result {
	s.tracef("%s %s %s of %s at %s, %s", o.Kind, o.Group, o.Reason, o.Upstream, e.member.Group, e.member.State)
	if !e.alive {
		return NoAnswer
	}
	if e.startMillis != o.StartMillis {
		return Misdirected
	}
	matches := e.member.Group == o.Group && e.member.Epoch == o.Epoch
	switch o.Kind {
	case Join:
		return s.join(e, o)
	case Open:
		if !matches || e.member.Rank != 0 || e.member.State != fleet.Formed && e.member.State != fleet.Open {
			return Conflict
		}
		if e.member.State == fleet.Formed && e.transitionEnd.IsZero() {
			e.transitionEnd = s.now.Add(s.engine.FormTime)
		}
	case Close:
		if !matches || e.member.Rank != 0 || e.member.State != fleet.Open && e.member.State != fleet.Closing && e.member.State != fleet.Broken {
			return Conflict
		}
		e.member.State, e.transitionEnd = fleet.Closing, s.now.Add(80*time.Millisecond)
		if !o.Truncate {
			e.transitionEnd = s.now.Add(time.Second)
		}
		s.report(e)
	case Leave:
		if !matches {
			return Conflict
		}
		e.member, e.members = fleet.Membership{}, nil
		s.report(e)
	case Stage:
		startMillis := e.startMillis
		s.after(s.engine.Model(o.Model).LoadTime, func() {
			if e.alive && e.startMillis == startMillis {
				e.staged = []string{o.Model}
				s.report(e)
			}
		})
	}
	return Accepted
}

func (s *simulation) join(e *simEngine, o Order) Result {
	same := e.member.Group == o.Group && e.member.Epoch == o.Epoch
	if o.Epoch < e.epoch || same && !slices.Equal(e.members, o.Members) {
		return Conflict
	}
	if same {
		return Accepted
	}
	s.checkLeavesGroup(e, o)
	m := s.engine.Model(o.Model)
	joinDelay := m.LoadTime
	switch {
	case e.lastModel == o.Model:
		joinDelay = 200 * time.Millisecond
	case slices.Contains(e.staged, o.Model):
		joinDelay = m.WarmTime
	}
	e.staged = []string{o.Model}
	e.model, e.epoch, e.members = o.Model, o.Epoch, slices.Clone(o.Members)
	e.member = fleet.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.id), State: fleet.Joining}
	e.transitionEnd, e.stalledSince = s.now.Add(joinDelay), time.Time{}
	s.report(e)
	return Accepted
}

// checkLeavesGroup checks that an engine that joins another group does not
// leave a serving one.
func (s *simulation) checkLeavesGroup(e *simEngine, o Order) {
	if e.member.Group == "" {
		return
	}
	head := s.byID[e.members[0]]
	if head.alive && head.member.Group == e.member.Group && head.member.Epoch == e.member.Epoch &&
		(head.member.State == fleet.Open || head.member.State == fleet.Closing) {
		s.failf("%s joined %s while %s of %s was %d", e.id, o.Group, e.member.Group, head.id, head.member.State)
	}
}

// drain drains an engine. It keeps running for a while, longer if it is in a
// group, and is restarted a second after it has stopped.
func (s *simulation) drain(e *simEngine) {
	e.draining = true
	s.report(e)
	stay := 4 * time.Second
	if e.member.State != fleet.NoGroup {
		stay = 10 * time.Second
	}
	s.after(stay, func() {
		s.kill(e)
		s.after(time.Second, func() { s.restart(e) })
	})
}

func (s *simulation) kill(e *simEngine) {
	e.alive = false
	s.tracef("killed %s", e.id)
}

// restart starts an engine again with the same ID; its host keeps the staged
// models.
func (s *simulation) restart(e *simEngine) {
	e.alive, e.draining, e.startMillis, e.epoch, e.seq = true, false, s.now.UnixMilli(), 0, 0
	e.member, e.members, e.model, e.lastModel, e.transitionEnd, e.stalledSince = fleet.Membership{}, nil, "", "", time.Time{}, time.Time{}
	s.report(e)
}

// move starts an engine that has ended again with the same ID at another address.
func (s *simulation) move(e *simEngine) {
	s.formerAddresses = append(s.formerAddresses, e.address)
	e.address = fmt.Sprintf("%s@%d", e.id, s.now.UnixMilli())
	s.tracef("moved %s to %s", e.id, e.address)
	s.restart(e)
}

// reuseAddress starts a process of another service at a former address of an engine.
func (s *simulation) reuseAddress() {
	if len(s.formerAddresses) == 0 {
		return
	}
	n := s.random.IntN(len(s.formerAddresses))
	u := fleet.Upstream{ID: fmt.Sprint("other-", s.now.UnixMilli()), Service: "other", Address: s.formerAddresses[n], StartMillis: s.now.UnixMilli(), Sequence: 1}
	s.formerAddresses = slices.Delete(s.formerAddresses, n, n+1)
	s.tracef("%s uses %s", u.ID, u.Address)
	s.table.Observe(s.now, u)
}

// partitionGroup separates all members of an open group from the leader for a while.
// Partitions may overlap.
func (s *simulation) partitionGroup() {
	head := s.pickEngine(func(e *simEngine) bool { return e.alive && e.member.State == fleet.Open })
	if head == nil {
		return
	}
	until := s.now.Add(time.Duration(1+s.random.IntN(25)) * time.Second)
	for _, id := range head.members {
		e := s.byID[id]
		e.partitioned = true
		e.partitionedUntil = later(e.partitionedUntil, until)
		s.after(until.Sub(s.now), func() {
			if !s.now.Before(e.partitionedUntil) {
				e.partitioned = false
			}
		})
	}
	s.tracef("partitioned %v until %v", head.members, until.Sub(time.UnixMilli(1_000_000)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// replace starts an engine under a new ID on the host of one that has ended.
func (s *simulation) replace(e *simEngine) {
	successor := &simEngine{id: e.id + "'", address: e.address, domain: e.domain, staged: e.staged, joinedGroups: map[string]bool{}}
	s.engines = append(s.engines, successor)
	s.byID[successor.id] = successor
	s.restart(successor)
}

// open counts the serving groups with all members by model.
func (s *simulation) open() map[string]int {
	n := map[string]int{}
	for _, e := range s.engines {
		if e.alive && e.member.Rank == 0 && e.member.State == fleet.Open && s.complete(e) {
			n[e.model]++
		}
	}
	return n
}

func (s *simulation) pickEngine(fits func(*simEngine) bool) *simEngine {
	var all []*simEngine
	for _, e := range s.engines {
		if fits(e) {
			all = append(all, e)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b *simEngine) int { return cmp.Compare(a.id, b.id) })
	return all[s.random.IntN(len(all))]
}
