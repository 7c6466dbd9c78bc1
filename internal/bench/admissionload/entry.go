package admissionload

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/bluebellfield/bluebellfield/admission"
	"github.com/bluebellfield/bluebellfield/admission/share"
)

// origin is the time at which each simulated run starts.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const service = "model"

var slotsLimit = share.ID(share.Slots, "", service)

// sight is what an entry knows of one engine.
type sight struct {
	load int // as last reported
	own  int // this entry's jobs on the engine
	// ownPaying counts the paying ones among them.
	ownPaying int
	sampled   time.Duration
	changes   []change // of own since the sample
	delta     int      // sum of changes
}

type change struct {
	at time.Duration
	by int
}

func (s *sight) change(at time.Duration, j *job, by int) {
	s.own += by
	if !j.free {
		s.ownPaying += by
	}
	s.delta += by
	s.changes = append(s.changes, change{at, by})
}

func (s *sight) report(sampled time.Duration, load int) {
	s.load, s.sampled = load, sampled
	rest := s.changes[:0]
	for _, c := range s.changes {
		if c.at <= sampled {
			s.delta -= c.by
		} else {
			rest = append(rest, c)
		}
	}
	s.changes = rest
}

// estimate is the reported load with the own changes since the report.
func (s *sight) estimate() int { return max(s.load+s.delta, s.own) }

// entry receives jobs from the load balancer and dispatches them.
type entry struct {
	m         *model
	index     int
	rng       *rand.Rand
	sights    []sight
	next      int // round robin
	control   *admission.Controller
	node      *share.Node
	jobs      map[admission.Ticket]*job
	freed     []*engine // with a slot that this entry's work has just left
	unstarted []*job
	// candidates is reused between picks.
	candidates []int
}

func newEntry(m *model, index int) *entry {
	e := &entry{m: m, index: index, rng: rand.New(rand.NewSource(m.opts.Seed*1000 + int64(index))), sights: make([]sight, len(m.engines))}
	if m.policy != Admission {
		return e
	}
	e.jobs = map[admission.Ticket]*job{}
	e.control = admission.New(admission.Options{Backlog: m.opts.Backlog, BacklogInOrder: m.opts.BacklogInOrder, PayingReserve: m.opts.PayingReserve})
	e.node = share.New(share.Config{ID: entryID(index), Incarnation: 1, Period: m.opts.SharePeriod}, e.time())
	var ids []string
	for i := range m.opts.Entries {
		ids = append(ids, entryID(i))
	}
	e.node.SetView(e.time(), ids, ids)
	e.node.SetLimits(e.time(), []share.Limit{{ID: slotsLimit, Kind: share.Slots, Value: float64(m.opts.Slots * len(m.engines))}})
	return e
}

func entryID(i int) string { return fmt.Sprintf("e%d", i) }

func (e *entry) time() time.Time { return origin.Add(e.m.now) }

func (e *entry) arrive(j *job) {
	if e.m.policy != Admission {
		e.dispatch(j)
		return
	}
	r := admission.Request{
		Account: fmt.Sprintf("%v-%d", j.free, j.account), Service: service,
		Rules:    admission.Rules{Class: admission.Class(class(j.free)), Weight: 1, Account: admission.Unlimited(), AtService: admission.Unlimited()},
		Tokens:   int(j.work / tokenTime),
		Deadline: origin.Add(j.deadline),
		Expected: meanWork(),
	}
	d := e.control.Submit(e.time(), r)
	e.dropped(d.Dropped)
	switch d.Verdict {
	case admission.RejectedNow:
		e.m.setState(j, ended)
		return
	case admission.Queued:
		e.jobs[d.Ticket], j.ticket = j, uint64(d.Ticket)
		e.preempt()
	case admission.Admitted:
		e.jobs[d.Ticket], j.ticket = j, uint64(d.Ticket)
		e.dispatch(j)
	}
}

func (e *entry) dropped(rejected []admission.Rejected) {
	for _, r := range rejected {
		e.m.setState(e.jobs[r.Ticket], ended)
		delete(e.jobs, r.Ticket)
	}
}

// serve dispatches what the controller admits.
func (e *entry) serve() {
	for _, t := range e.control.Next(e.time(), service) {
		e.dispatch(e.jobs[t])
	}
	e.preempt()
}

// preempt cancels running free work that has to give way.
func (e *entry) preempt() {
	for _, t := range e.control.Preempt(e.time()) {
		j := e.jobs[t]
		e.m.after(e.m.opts.Latency, func() {
			if j.state != running && j.state != atEngineQueued {
				return
			}
			from := j.engine
			from.cancel(j)
			j.engine = nil
			e.m.setState(j, atEntry)
			j.evictions++
			from.fill()
			e.m.after(e.m.opts.Latency, func() {
				e.sights[from.index].change(e.m.now, j, -1)
				if j.state != atEntry {
					return
				}
				e.control.Yielded(e.time(), t)
				e.freed = append(e.freed, from)
				e.serve()
				e.freed = e.freed[:0]
			})
		})
	}
}

func (e *entry) dispatch(j *job) {
	e.sendTo(j, e.pick(j))
}

func (e *entry) sendTo(j *job, target *engine) {
	if e.m.policy == Admission && j.first < 0 {
		e.unstarted = append(e.unstarted, j)
	}
	e.sights[target.index].change(e.m.now, j, 1)
	e.m.setState(j, inTransit)
	j.engine = target
	e.m.after(e.m.opts.Latency, func() {
		if j.state == inTransit {
			target.add(j)
		}
	})
}

func (e *entry) pick(j *job) *engine {
	engines := e.m.engines
	switch e.m.policy {
	case Random:
		return engines[e.rng.Intn(len(engines))]
	case RoundRobin:
		e.next++
		return engines[(e.next+e.index*len(engines)/e.m.opts.Entries)%len(engines)]
	case LeastOutstanding:
		offset, best := e.rng.Intn(len(engines)), 0
		for k := range engines {
			i := (k + offset) % len(engines)
			if k == 0 || e.sights[i].own < e.sights[best].own {
				best = i
			}
		}
		return engines[best]
	}
	if n := len(e.freed); n > 0 {
		target := e.freed[n-1]
		e.freed = e.freed[:n-1]
		return target
	}
	return engines[e.better(j)]
}

// better takes two random choices among the engines that seem to have an idle
// slot, or among all when there is none. Where priorities are honoured an idle
// slot is no advantage to paying work, and old reports of idle slots would draw
// the paying work of all entries to the same engines.
func (e *entry) better(j *job) int {
	e.candidates = e.candidates[:0]
	for i := range e.sights {
		if !e.m.priorities && e.sights[i].estimate() < e.m.opts.Slots {
			e.candidates = append(e.candidates, i)
		}
	}
	if len(e.candidates) == 0 {
		for i := range e.sights {
			e.candidates = append(e.candidates, i)
		}
	}
	a, b := e.candidates[e.rng.Intn(len(e.candidates))], e.candidates[e.rng.Intn(len(e.candidates))]
	x, y := &e.sights[a], &e.sights[b]
	if e.m.priorities && !j.free && x.ownPaying != y.ownPaying {
		// Free work on an engine is not in the way of paying work.
		if y.ownPaying < x.ownPaying {
			return b
		}
		return a
	}
	if y.estimate() < x.estimate() {
		return b
	}
	return a
}

// finished is called when the answer has arrived.
func (e *entry) finished(j *job) {
	e.sights[j.engine.index].change(e.m.now, j, -1)
	if e.control != nil {
		e.freed = append(e.freed, j.engine)
		e.control.Done(e.time(), admission.Ticket(j.ticket), admission.Usage{Tokens: -1})
		delete(e.jobs, admission.Ticket(j.ticket))
		e.serve()
		for _, idle := range e.freed {
			e.move(idle)
		}
		e.freed = e.freed[:0]
	}
}

// move takes a request of this entry that has not started on its engine to an
// engine that has just lost one, when the entry has nothing queued for it.
func (e *entry) move(to *engine) {
	rest := e.unstarted[:0]
	var moved *job
	for _, j := range e.unstarted {
		switch {
		case j.first >= 0 || j.state == ended:
			continue
		case moved == nil && j.state == atEngineQueued && j.engine != to && (j.free || !e.m.priorities):
			moved = j
			continue
		}
		rest = append(rest, j)
	}
	e.unstarted = rest
	if moved == nil {
		return
	}
	from := moved.engine
	e.m.after(e.m.opts.Latency, func() {
		if moved.state != atEngineQueued || moved.engine != from {
			return
		}
		from.cancel(moved)
		e.sights[from.index].change(e.m.now, moved, -1)
		e.sendTo(moved, to)
	})
}

// abandoned is called when a caller stops waiting.
func (e *entry) abandoned(j *job) {
	if j.engine != nil {
		e.sights[j.engine.index].change(e.m.now, j, -1)
	}
	if e.control != nil {
		e.control.Cancel(e.time(), admission.Ticket(j.ticket))
		delete(e.jobs, admission.Ticket(j.ticket))
		e.serve()
	}
}

// report receives an engine's load.
func (e *entry) report(engine int, sampled time.Duration, load int) {
	e.sights[engine].report(sampled, load)
}

// refresh tells the controller what the reports show.
func (e *entry) refresh() {
	c := admission.Capacity{Slots: e.m.opts.Slots * len(e.m.engines), Entries: e.m.opts.Entries, Priorities: e.m.priorities, Share: -1}
	for i := range e.sights {
		c.Load += e.sights[i].load
		c.OwnInLoad += e.sights[i].own - e.sights[i].delta
	}
	if a := e.node.Local(e.time(), slotsLimit); a.Source == share.Leased {
		c.Share = a.Value
	}
	e.control.SetCapacity(service, c)
	e.dropped(e.control.Expire(e.time()))
	e.serve()
}

// lease exchanges slot demand with the owner.
func (e *entry) lease() {
	paying, free := e.control.Demand(service)
	e.node.SetDemand(e.time(), slotsLimit, share.Demand{Paying: float64(paying.Queued + paying.Running), Free: float64(free.Queued + free.Running)})
	e.send(e.node.Tick(e.time()))
}

func (e *entry) send(out []share.Envelope) {
	for _, env := range out {
		for _, to := range e.m.entries {
			if entryID(to.index) == env.To {
				e.m.after(e.m.opts.Latency, func() { to.send(to.node.Step(to.time(), entryID(e.index), env.Message)) })
			}
		}
	}
}
