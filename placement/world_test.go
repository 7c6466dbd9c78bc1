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

// world simulates the engines of one service and the leader that gives them
// orders. It checks the invariants of groups at every step.
type world struct {
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
	// lateShare is the part of orders that get no answer and are carried out
	// seconds later.
	lateShare float64
	// traffic says that callers are served, so that loads are bounded.
	traffic bool
	// deaf says that the entries that see progress do not reach the leader.
	deaf      bool
	violation string
	trace     []string
	orders    map[OrderKind]int
}

type simEngine struct {
	id, domain string
	born       int64
	seq        uint64
	alive      bool
	// cut engines are reached by no order and their reports by no leader.
	cut      bool
	draining bool
	member   fleet.Membership
	members  []string
	model    string
	last     string
	staged   []string
	epoch    uint64
	// everReady holds the groups that the engine was ready in, in any life: a
	// group may open while a member that was ready is lost unseen.
	everReady map[string]bool
	until     time.Time
	// brokenAt is when a head without a member gives up.
	standing time.Time
	reported time.Time
}

type simEvent struct {
	at time.Time
	do func()
}

const (
	simStep  = 50 * time.Millisecond
	simStall = 6 * time.Second
	simBeat  = 1200 * time.Millisecond
)

func testEngine() *enginemodel.Engine {
	return &enginemodel.Engine{Slots: 26, Stride: 6, Chunk: 2048, Step: 6450 * time.Microsecond, PerSequence: 97 * time.Microsecond,
		ReadRate: 56100, LoadsPerSecond: 5.5, LoadsAtOnce: 8, StagedModels: 1, FormTime: 300 * time.Millisecond,
		UsualPrompt: 1115, UsualAnswer: 152, Models: []enginemodel.Model{
			{Name: "large", GroupSize: 6, Pace: 1, WorkShare: 0.67, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
			{Name: "small", GroupSize: 3, Pace: 0.6, WorkShare: 0.33, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
		}}
}

func newWorld(t testing.TB, seed uint64, domains, perDomain int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_000_000), byID: map[string]*simEngine{},
		engine: testEngine(), table: fleet.NewTable(), orders: map[OrderKind]int{}}
	for d := range domains {
		for n := range perDomain {
			e := &simEngine{id: fmt.Sprintf("i-%d-%02d", d, n), domain: fmt.Sprintf("d%d", d), born: w.now.UnixMilli(), alive: true, everReady: map[string]bool{}}
			w.engines = append(w.engines, e)
			w.byID[e.id] = e
		}
	}
	w.newLeader(false)
	return w
}

func (w *world) newLeader(forget bool) {
	if forget {
		w.table = fleet.NewTable()
	}
	w.generation++
	w.note("leader %d", w.generation)
	w.planner = New(Config{Generation: w.generation, HeartbeatInterval: simBeat, StallTime: simStall, ColdStart: w.generation == 1, Engine: w.engine}, w.now)
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, simEvent{w.now.Add(d), do})
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(simStep)
		w.step()
	}
}

func (w *world) step() {
	due := w.events[:0:0]
	kept := w.events[:0]
	for _, e := range w.events {
		if e.at.After(w.now) {
			kept = append(kept, e)
		} else {
			due = append(due, e)
		}
	}
	w.events = kept
	slices.SortStableFunc(due, func(a, b simEvent) int { return a.at.Compare(b.at) })
	for _, e := range due {
		e.do()
	}
	for _, e := range w.engines {
		w.advance(e)
	}
	for _, e := range w.engines {
		if e.alive && !e.cut && w.now.Sub(e.reported) >= simBeat {
			w.report(e)
		}
	}
	if w.now.UnixMilli()%100 == 0 {
		w.plan()
	}
}

// advance moves an engine through its group's states.
func (w *world) advance(e *simEngine) {
	if !e.alive {
		return
	}
	switch e.member.State {
	case fleet.Joining:
		if !w.now.Before(e.until) {
			e.member.State, e.until = fleet.Formed, time.Time{}
			e.last = e.model
			e.everReady[groupID(e.member, e.members)] = true
			w.report(e)
		}
	case fleet.Formed:
		if !e.until.IsZero() && !w.now.Before(e.until) && e.member.Rank == 0 {
			e.until = time.Time{}
			e.member.State = fleet.Open
			w.checkOpen(e)
			w.report(e)
		}
	case fleet.Closing:
		if !w.now.Before(e.until) {
			e.until = time.Time{}
			e.member.State = fleet.Formed
			w.report(e)
		}
	}
	if e.member.Rank == 0 && (e.member.State == fleet.Open || e.member.State == fleet.Closing) {
		if w.complete(e) {
			e.standing = time.Time{}
			return
		}
		if e.standing.IsZero() {
			e.standing = w.now
			w.suspectLater(e)
		}
		if w.now.Sub(e.standing) >= simStall {
			e.member.State = fleet.Broken
			w.report(e)
		}
	}
}

func groupID(m fleet.Membership, members []string) string {
	return fmt.Sprintf("%s/%d/%s", m.Group, m.Epoch, strings.Join(members, ","))
}

// complete reports whether all members of a head's group are there.
func (w *world) complete(head *simEngine) bool {
	for _, id := range head.members {
		m := w.byID[id]
		if m == nil || !m.alive || m.member.Group != head.member.Group || m.member.Epoch != head.member.Epoch {
			return false
		}
	}
	return true
}

// suspectLater reports a group that stands still to the leader, as entries do.
func (w *world) suspectLater(head *simEngine) {
	name, epoch := head.member.Group, head.member.Epoch
	for _, d := range []time.Duration{900, 1500, 2200, 3000} {
		w.after(d*time.Millisecond, func() {
			if !head.standing.IsZero() && head.member.Group == name && head.member.State == fleet.Open {
				w.planner.Suspect(w.now, name, epoch)
			}
		})
	}
}

// checkOpen checks that a group which begins to serve is whole.
func (w *world) checkOpen(head *simEngine) {
	m := w.engine.Model(head.model)
	if m == nil || len(head.members) != m.GroupSize {
		w.fail("group %s opened with %d members of %s", head.member.Group, len(head.members), head.model)
		return
	}
	id := groupID(head.member, head.members)
	for _, other := range head.members {
		if !w.byID[other].everReady[id] {
			w.fail("group %s opened although %s was never ready in it", head.member.Group, other)
		}
	}
}

// note adds a line to the trace of a run, which a failure prints.
func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v: ", w.now.Sub(time.UnixMilli(1_000_000)))+fmt.Sprintf(format, args...))
}

// about returns the lines of the trace that name one of the words.
func (w *world) about(words ...string) string {
	var lines []string
	for _, line := range w.trace {
		if slices.ContainsFunc(words, func(word string) bool { return strings.Contains(line, word) }) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines[max(0, len(lines)-60):], "\n")
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", w.now.Sub(time.UnixMilli(1_000_000))) + fmt.Sprintf(format, args...)
	}
}

// report delivers an engine's report, mostly at once.
func (w *world) report(e *simEngine) {
	e.seq++
	e.reported = w.now
	if e.cut {
		return
	}
	u := fleet.Upstream{ID: e.id, Service: "s", Address: e.id, FailureDomain: e.domain, FabricDomain: e.domain, Born: e.born, Sequence: e.seq,
		Model: e.model, Staged: slices.Clone(e.staged), Member: e.member}
	if e.draining {
		u.Phase = fleet.Draining
	}
	delay := time.Duration(w.random.IntN(20)) * time.Millisecond
	table := w.table
	w.after(delay, func() { table.Observe(w.now, u) })
}

func (w *world) plan() {
	if w.now.UnixMilli()%500 == 0 && !w.deaf {
		for _, e := range w.engines {
			if e.alive && e.member.Rank == 0 && e.member.State == fleet.Open && e.standing.IsZero() {
				w.planner.Alive(w.now, []string{e.member.Group})
			}
		}
	}
	for i := range w.engine.Models {
		if m := &w.engine.Models[i]; w.traffic {
			w.planner.SetWork(m.Name, m.WorkShare*float64(len(w.engines))/float64(m.GroupSize)/1.2)
		}
	}
	w.planner.Observe(w.now, w.table.All())
	for _, o := range w.planner.Plan(w.now) {
		w.orders[o.Kind]++
		w.sendOrder(o)
	}
}

func (w *world) sendOrder(o Order) {
	planner := w.planner
	done := func(r Result) { planner.Done(w.now, o, r) }
	e := w.byID[o.Upstream]
	switch {
	case e == nil || e.cut || !e.alive:
		r := []Result{NoAnswer, NotListening}[w.random.IntN(2)]
		w.after(300*time.Millisecond, func() { done(r) })
	case o.Kind != Probe && w.random.Float64() < w.lateShare:
		late := time.Duration(2000+w.random.IntN(10000)) * time.Millisecond
		w.after(late, func() { w.execute(e, o) })
		w.after(500*time.Millisecond, func() { done(NoAnswer) })
	default:
		w.after(5*time.Millisecond, func() {
			r := w.execute(e, o)
			w.after(5*time.Millisecond, func() { done(r) })
		})
	}
}

// execute carries an order out as the engines' protocol says.
func (w *world) execute(e *simEngine, o Order) Result {
	w.note("%s %s %s of %s at %s, %s", o.Kind, o.Group, o.Reason, o.Upstream, e.member.Group, e.member.State)
	if !e.alive {
		return NoAnswer
	}
	if e.born != o.Born {
		return Misdirected
	}
	matches := e.member.Group == o.Group && e.member.Epoch == o.Epoch
	switch o.Kind {
	case Join:
		return w.join(e, o)
	case Open:
		if !matches || e.member.Rank != 0 || e.member.State != fleet.Formed && e.member.State != fleet.Open {
			return Conflict
		}
		if e.member.State == fleet.Formed && e.until.IsZero() {
			e.until = w.now.Add(w.engine.FormTime)
		}
	case Close:
		if !matches || e.member.Rank != 0 || e.member.State != fleet.Open && e.member.State != fleet.Closing && e.member.State != fleet.Broken {
			return Conflict
		}
		e.member.State, e.until = fleet.Closing, w.now.Add(80*time.Millisecond)
		if !o.Truncate {
			e.until = w.now.Add(time.Second)
		}
		w.report(e)
	case Leave:
		if !matches {
			return Conflict
		}
		e.member, e.members = fleet.Membership{}, nil
		w.report(e)
	case Stage:
		born := e.born
		w.after(w.engine.Model(o.Model).LoadTime, func() {
			if e.alive && e.born == born {
				e.staged = []string{o.Model}
				w.report(e)
			}
		})
	}
	return Accepted
}

func (w *world) join(e *simEngine, o Order) Result {
	same := e.member.Group == o.Group && e.member.Epoch == o.Epoch
	if o.Epoch < e.epoch || same && !slices.Equal(e.members, o.Members) {
		return Conflict
	}
	if same {
		return Accepted
	}
	w.checkLeave(e, o)
	m := w.engine.Model(o.Model)
	took := m.LoadTime
	switch {
	case e.last == o.Model:
		took = 200 * time.Millisecond
	case slices.Contains(e.staged, o.Model):
		took = m.WarmTime
	}
	e.staged = []string{o.Model}
	e.model, e.epoch, e.members = o.Model, o.Epoch, slices.Clone(o.Members)
	e.member = fleet.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.id), State: fleet.Joining}
	e.until, e.standing = w.now.Add(took), time.Time{}
	w.report(e)
	return Accepted
}

// checkLeave checks that an engine which joins another group leaves none that
// serves.
func (w *world) checkLeave(e *simEngine, o Order) {
	if e.member.Group == "" {
		return
	}
	head := w.byID[e.members[0]]
	if head.alive && head.member.Group == e.member.Group && head.member.Epoch == e.member.Epoch &&
		(head.member.State == fleet.Open || head.member.State == fleet.Closing) {
		w.fail("%s joined %s while %s of %s was %d", e.id, o.Group, e.member.Group, head.id, head.member.State)
	}
}

// leave lets an engine drain: it stays for a while, longer while its group has
// work, and is replaced by an empty one.
func (w *world) leave(e *simEngine) {
	e.draining = true
	w.report(e)
	stay := 4 * time.Second
	if e.member.State != fleet.NoGroup {
		stay = 10 * time.Second
	}
	w.after(stay, func() {
		w.kill(e)
		w.after(time.Second, func() { w.restart(e) })
	})
}

func (w *world) kill(e *simEngine) {
	e.alive = false
	w.note("killed %s", e.id)
}

// restart starts an engine again under its id; its host keeps what is staged.
func (w *world) restart(e *simEngine) {
	e.alive, e.draining, e.born, e.epoch, e.seq = true, false, w.now.UnixMilli(), 0, 0
	e.member, e.members, e.model, e.last, e.until, e.standing = fleet.Membership{}, nil, "", "", time.Time{}, time.Time{}
	w.report(e)
}

// open counts the whole groups that serve, by model.
func (w *world) open() map[string]int {
	n := map[string]int{}
	for _, e := range w.engines {
		if e.alive && e.member.Rank == 0 && e.member.State == fleet.Open && w.complete(e) {
			n[e.model]++
		}
	}
	return n
}

func (w *world) pick(fits func(*simEngine) bool) *simEngine {
	var all []*simEngine
	for _, e := range w.engines {
		if fits(e) {
			all = append(all, e)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b *simEngine) int { return cmp.Compare(a.id, b.id) })
	return all[w.random.IntN(len(all))]
}
