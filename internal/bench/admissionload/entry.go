package admissionload

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/bluebellfield/bluebellfield/admission"
	"github.com/bluebellfield/bluebellfield/admission/share"
	"github.com/bluebellfield/bluebellfield/routing"
)

// simulationStart is the time at which simulated runs start.
var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const service = "model"

var slotsLimit = share.ID(share.Slots, "", service)

// entry receives jobs from the load balancer and dispatches them to engines.
// Under the Admission policy it uses the admission controller, the share node
// and the router of a daemon.
type entry struct {
	simulation     *simulation
	index          int
	rng            *rand.Rand
	outstanding    []int // jobs of this entry on each engine, used by the baselines
	nextRoundRobin int
	controller     *admission.Controller
	shares         *share.Node
	router         *routing.Router
	source         *routing.Source
	candidates     []routing.Candidate
	jobs           map[admission.Ticket]*job
}

func newEntry(s *simulation, index int) *entry {
	e := &entry{simulation: s, index: index, rng: rand.New(rand.NewSource(s.options.Seed*1000 + int64(index))), outstanding: make([]int, len(s.engines))}
	if s.policy != Admission {
		return e
	}
	e.jobs = map[admission.Ticket]*job{}
	e.controller = admission.New(admission.Options{Backlog: s.options.Backlog, BacklogInOrder: s.options.BacklogInOrder, PayingReserve: s.options.PayingReserve})
	e.shares = share.New(share.Config{ID: entryID(index), Incarnation: 1, Period: s.options.SharePeriod}, e.time())
	var ids []string
	for i := range s.options.Entries {
		ids = append(ids, entryID(i))
	}
	e.shares.SetView(e.time(), ids, ids)
	e.shares.SetLimits(e.time(), []share.Limit{{ID: slotsLimit, Kind: share.Slots, Value: float64(s.options.Slots * len(s.engines))}})
	e.source = routing.NewSource(uint64(s.options.Seed*1000 + int64(index)))
	e.router = routing.New(routing.Config{FailureDomain: domainOf(index), Region: "r", Entries: s.options.Entries}, nil)
	for i := range s.engines {
		e.candidates = append(e.candidates, routing.Candidate{
			ID: engineID(i), Incarnation: 1, FailureDomain: domainOf(i), Region: "r", Services: []string{service},
			State: routing.Ready, Priorities: s.priorities, MaxConcurrent: s.options.Slots, Load: routing.Load{At: e.time()},
		})
	}
	e.publish()
	return e
}

func engineID(i int) string { return fmt.Sprintf("engine-%04d", i) }

// domainOf distributes daemons and engines over three failure domains.
func domainOf(i int) string { return fmt.Sprint("d", i%3) }

// publish passes the reported loads to the router.
func (e *entry) publish() { e.router.Publish(e.time(), e.candidates) }

func entryID(i int) string { return fmt.Sprintf("e%d", i) }

func (e *entry) time() time.Time { return simulationStart.Add(e.simulation.now) }

func (e *entry) submit(j *job) {
	if e.simulation.policy != Admission {
		e.dispatch(j)
		return
	}
	r := admission.Request{
		Account: fmt.Sprintf("%v-%d", j.free, j.account), Service: service,
		Rules:           admission.Rules{Class: admission.Class(classIndex(j.free)), Weight: 1, Account: admission.Unlimited(), AtService: admission.Unlimited()},
		Tokens:          int(j.work / tokenTime),
		Deadline:        simulationStart.Add(j.deadline),
		ExpectedRunTime: meanWork(),
	}
	d := e.controller.Submit(e.time(), r)
	e.endRejected(d.Dropped)
	switch d.Verdict {
	case admission.RejectedImmediately:
		e.simulation.setState(j, ended)
		return
	case admission.Queued:
		e.jobs[d.Ticket], j.ticket = j, uint64(d.Ticket)
		e.preempt()
	case admission.Admitted:
		e.jobs[d.Ticket], j.ticket = j, uint64(d.Ticket)
		e.dispatch(j)
	}
}

func (e *entry) endRejected(rejected []admission.Rejected) {
	for _, r := range rejected {
		e.simulation.setState(e.jobs[r.Ticket], ended)
		delete(e.jobs, r.Ticket)
	}
}

// dispatchAdmitted dispatches the jobs that the controller admits.
func (e *entry) dispatchAdmitted() {
	for _, t := range e.controller.Next(e.time(), service) {
		e.dispatch(e.jobs[t])
	}
	e.preempt()
}

// preempt takes back the free jobs that the controller preempts.
func (e *entry) preempt() {
	for _, t := range e.controller.Preempt(e.time()) {
		j := e.jobs[t]
		e.simulation.after(e.simulation.options.Latency, func() {
			if j.state != running && j.state != atEngineQueued {
				return
			}
			from := j.engine
			from.cancel(j)
			j.engine = nil
			e.simulation.setState(j, atEntry)
			j.evictions++
			from.fillSlots()
			e.simulation.after(e.simulation.options.Latency, func() {
				e.release(j, from)
				if j.state != atEntry {
					return
				}
				e.controller.Preempted(e.time(), t)
				e.dispatchAdmitted()
			})
		})
	}
}

func (e *entry) dispatch(j *job) {
	target := e.selectEngine(j)
	if target == nil {
		e.rejectUnroutable(j)
		return
	}
	e.outstanding[target.index]++
	e.simulation.setState(j, inTransit)
	j.engine = target
	e.simulation.after(e.simulation.options.Latency, func() {
		if j.state == inTransit {
			target.accept(j)
		}
	})
}

// rejectUnroutable ends a job for which the router finds no engine.
func (e *entry) rejectUnroutable(j *job) {
	e.simulation.metrics.refused++
	e.simulation.setState(j, ended)
	j.engine = nil
	e.controller.Done(e.time(), admission.Ticket(j.ticket), admission.Usage{})
	delete(e.jobs, admission.Ticket(j.ticket))
}

// release records that a job has left an engine.
func (e *entry) release(j *job, from *engine) {
	e.outstanding[from.index]--
	if e.router != nil {
		e.router.Done(e.time(), j.upstream, routing.Observation{SlotFreed: true})
	}
}

func (e *entry) selectEngine(j *job) *engine {
	engines := e.simulation.engines
	switch e.simulation.policy {
	case Random:
		return engines[e.rng.Intn(len(engines))]
	case RoundRobin:
		e.nextRoundRobin++
		return engines[(e.nextRoundRobin+e.index*len(engines)/e.simulation.options.Entries)%len(engines)]
	case LeastOutstanding:
		offset, best := e.rng.Intn(len(engines)), 0
		for k := range engines {
			i := (k + offset) % len(engines)
			if k == 0 || e.outstanding[i] < e.outstanding[best] {
				best = i
			}
		}
		return engines[best]
	}
	choice, err := e.router.Pick(e.time(), e.source, &routing.Request{Service: service, Paying: !j.free})
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

// complete handles the arrival of the answer to a job.
func (e *entry) complete(j *job) {
	e.release(j, j.engine)
	if e.controller != nil {
		e.controller.Done(e.time(), admission.Ticket(j.ticket), admission.Usage{Tokens: -1})
		delete(e.jobs, admission.Ticket(j.ticket))
		e.dispatchAdmitted()
	}
}

// cancel handles the timeout of a caller.
func (e *entry) cancel(j *job) {
	if j.engine != nil {
		e.release(j, j.engine)
	}
	if e.controller != nil {
		e.controller.Cancel(e.time(), admission.Ticket(j.ticket))
		delete(e.jobs, admission.Ticket(j.ticket))
		e.dispatchAdmitted()
	}
}

// updateLoad handles the load report of an engine.
func (e *entry) updateLoad(engine int, sampled time.Duration, load int) {
	if e.router != nil {
		slots := e.simulation.options.Slots
		e.candidates[engine].Load = routing.Load{Running: min(load, slots), Queued: max(0, load-slots), At: simulationStart.Add(sampled)}
	}
}

// tick updates capacity, demand and shares and dispatches the jobs that can
// start. A daemon updates capacity and demand less often than it ticks.
func (e *entry) tick() {
	c := admission.Capacity{Entries: e.simulation.options.Entries, Priorities: e.simulation.priorities, Share: -1}
	for _, u := range e.router.Table().Service(service) {
		load := u.Load.Running + u.Load.Queued
		c.Slots += u.MaxConcurrent
		c.Load += load
		c.OwnLoad += u.OwnReportedLoad()
	}
	if a := e.shares.LocalAllowance(e.time(), slotsLimit); a.Source == share.Leased {
		c.Share = a.Value
	}
	e.controller.SetCapacity(service, c)
	paying, free := e.controller.Demand(service)
	e.shares.SetDemand(e.time(), slotsLimit, share.Demand{Paying: float64(paying.Queued + paying.Running), Free: float64(free.Queued + free.Running)})
	e.endRejected(e.controller.Expire(e.time()))
	e.dispatchAdmitted()
	e.sendShares(e.shares.Tick(e.time()))
}

func (e *entry) sendShares(envelopes []share.Envelope) {
	for _, env := range envelopes {
		for _, to := range e.simulation.entries {
			if entryID(to.index) == env.To {
				e.simulation.after(e.simulation.options.Latency, func() { to.sendShares(to.shares.Step(to.time(), entryID(e.index), env.Message)) })
			}
		}
	}
}
