package admissionload

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/bluebellfield/bluebellfield/admission"
	"github.com/bluebellfield/bluebellfield/admission/share"
	"github.com/bluebellfield/bluebellfield/routing"
)

// origin is the time at which each simulated run starts.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const service = "model"

var slotsLimit = share.ID(share.Slots, "", service)

// entry receives jobs from the load balancer and dispatches them. Under the
// Admission policy it holds the parts of a daemon: controller, shares and
// router.
type entry struct {
	m          *model
	index      int
	rng        *rand.Rand
	own        []int // this entry's jobs on each engine, for the baselines
	next       int   // round robin
	control    *admission.Controller
	node       *share.Node
	router     *routing.Router
	random     *routing.Source
	candidates []routing.Candidate
	jobs       map[admission.Ticket]*job
}

func newEntry(m *model, index int) *entry {
	e := &entry{m: m, index: index, rng: rand.New(rand.NewSource(m.opts.Seed*1000 + int64(index))), own: make([]int, len(m.engines))}
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
	e.random = routing.NewSource(uint64(m.opts.Seed*1000 + int64(index)))
	e.router = routing.New(routing.Config{FailureDomain: domainOf(index), Region: "r", Entries: m.opts.Entries}, nil)
	for i := range m.engines {
		e.candidates = append(e.candidates, routing.Candidate{
			ID: engineID(i), Incarnation: 1, FailureDomain: domainOf(i), Region: "r", Services: []string{service},
			State: routing.Ready, Priorities: m.priorities, MaxConcurrent: m.opts.Slots, Load: routing.Load{At: e.time()},
		})
	}
	e.publish()
	return e
}

func engineID(i int) string { return fmt.Sprintf("engine-%04d", i) }

// domainOf spreads daemons and engines over three failure domains.
func domainOf(i int) string { return fmt.Sprint("d", i%3) }

// publish passes reported loads on to the router.
func (e *entry) publish() { e.router.Publish(e.time(), e.candidates) }

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
				e.left(j, from)
				if j.state != atEntry {
					return
				}
				e.control.Yielded(e.time(), t)
				e.serve()
			})
		})
	}
}

func (e *entry) dispatch(j *job) {
	target := e.pick(j)
	if target == nil {
		e.refuse(j)
		return
	}
	e.own[target.index]++
	e.m.setState(j, inTransit)
	j.engine = target
	e.m.after(e.m.opts.Latency, func() {
		if j.state == inTransit {
			target.add(j)
		}
	})
}

// refuse ends a job for which routing finds no engine.
func (e *entry) refuse(j *job) {
	e.m.meter.refused++
	e.m.setState(j, ended)
	j.engine = nil
	e.control.Done(e.time(), admission.Ticket(j.ticket), admission.Usage{})
	delete(e.jobs, admission.Ticket(j.ticket))
}

// left counts a job as no longer on an engine.
func (e *entry) left(j *job, from *engine) {
	e.own[from.index]--
	if e.router != nil {
		e.router.Done(e.time(), j.upstream, routing.Observation{SlotFreed: true})
	}
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
			if k == 0 || e.own[i] < e.own[best] {
				best = i
			}
		}
		return engines[best]
	}
	choice, err := e.router.Pick(e.time(), e.random, &routing.Request{Service: service, Paying: !j.free})
	if err != nil {
		return nil
	}
	j.upstream = choice.Upstream
	e.router.Begin(e.time(), j.upstream, nil)
	for i := range e.candidates {
		if e.candidates[i].ID == j.upstream.ID {
			return engines[i]
		}
	}
	return nil
}

// finished is called when the answer has arrived.
func (e *entry) finished(j *job) {
	e.left(j, j.engine)
	if e.control != nil {
		e.control.Done(e.time(), admission.Ticket(j.ticket), admission.Usage{Tokens: -1})
		delete(e.jobs, admission.Ticket(j.ticket))
		e.serve()
	}
}

// abandoned is called when a caller stops waiting.
func (e *entry) abandoned(j *job) {
	if j.engine != nil {
		e.left(j, j.engine)
	}
	if e.control != nil {
		e.control.Cancel(e.time(), admission.Ticket(j.ticket))
		delete(e.jobs, admission.Ticket(j.ticket))
		e.serve()
	}
}

// report receives an engine's load.
func (e *entry) report(engine int, sampled time.Duration, load int) {
	if e.router != nil {
		slots := e.m.opts.Slots
		e.candidates[engine].Load = routing.Load{Running: min(load, slots), Queued: max(0, load-slots), At: origin.Add(sampled)}
	}
}

// refresh does what a daemon does at each tick of admission.
func (e *entry) refresh() {
	c := admission.Capacity{Entries: e.m.opts.Entries, Priorities: e.m.priorities, Share: -1}
	for _, u := range e.router.Table().Service(service) {
		load := u.Load.Running + u.Load.Queued
		c.Slots += u.MaxConcurrent
		c.Load += load
		c.OwnInLoad += u.OwnInReport()
	}
	if a := e.node.Local(e.time(), slotsLimit); a.Source == share.Leased {
		c.Share = a.Value
	}
	e.control.SetCapacity(service, c)
	paying, free := e.control.Demand(service)
	e.node.SetDemand(e.time(), slotsLimit, share.Demand{Paying: float64(paying.Queued + paying.Running), Free: float64(free.Queued + free.Running)})
	e.dropped(e.control.Expire(e.time()))
	e.serve()
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
