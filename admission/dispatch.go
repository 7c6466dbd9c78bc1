package admission

import (
	"container/heap"
	"time"
)

func (c *Controller) enqueue(now time.Time, f *flow, r Request, latest time.Time) *ticket {
	c.lastTicket++
	t := &ticket{id: c.lastTicket, req: r, flow: f, queuedAt: now, latestStart: latest, due: -1, paid: true}
	c.charge(now, t, 1)
	c.tickets[t.id] = t
	f.queue.pushBack(t)
	c.queued(t)
	if f.parkedUntil.IsZero() && f.queue.size == 1 {
		f.service.queues[f.class].activate(f)
	}
	return t
}

// queued counts a ticket that was put into its flow's queue.
func (c *Controller) queued(t *ticket) {
	t.phase = phaseQueued
	t.flow.service.queues[t.flow.class].queued++
	t.flow.at.queued++
	t.flow.account.gate.queued++
	c.setLatestStart(t, t.latestStart)
}

// setLatestStart puts a ticket into the deadline heap, moves it there, or takes
// it out when the time is zero.
func (c *Controller) setLatestStart(t *ticket, at time.Time) {
	t.latestStart = at
	switch {
	case at.IsZero() && t.due >= 0:
		heap.Remove(&c.due, t.due)
	case at.IsZero():
	case t.due >= 0:
		heap.Fix(&c.due, t.due)
	default:
		heap.Push(&c.due, t)
	}
}

// unqueue takes a ticket out of its flow's queue.
func (c *Controller) unqueue(t *ticket) {
	f := t.flow
	q := &f.service.queues[f.class]
	f.queue.remove(t)
	q.queued--
	f.at.queued--
	f.account.gate.queued--
	c.setLatestStart(t, time.Time{})
	if f.queue.size == 0 {
		q.deactivate(f)
	}
}

// isNext returns whether Next would hand out t first.
func (c *Controller) isNext(now time.Time, t *ticket) bool {
	s := t.flow.service
	if t.flow.class == Free && c.room(s, Paying) > 0 && c.head(now, s, Paying) != nil {
		return false
	}
	return c.room(s, t.flow.class) > 0 && c.head(now, s, t.flow.class) == t
}

// head returns the ticket of a class whose turn it is, and parks flows that
// their limits hold back.
func (c *Controller) head(now time.Time, s *service, class Class) *ticket {
	q := &s.queues[class]
	for len(q.flows) > 0 {
		f := q.flows[0]
		blocked, wait := f.blocked(now)
		if !blocked {
			return f.queue.head
		}
		q.deactivate(f)
		if wait == never {
			continue
		}
		if wait > 0 {
			f.parkedUntil = now.Add(wait)
			if !f.listed {
				f.listed = true
				c.parked = append(c.parked, f)
			}
		}
	}
	return nil
}

// dispatch moves the head of a flow from the queue to the running work.
func (c *Controller) dispatch(now time.Time, t *ticket) {
	f := t.flow
	q := &f.service.queues[f.class]
	f.queue.remove(t)
	q.queued--
	f.at.queued--
	f.account.gate.queued--
	c.setLatestStart(t, time.Time{})
	q.dispatched(f, t)
	if !t.paid {
		t.paid = true
		c.charge(now, t, 1)
	}
	t.phase, t.admittedAt, t.class = phaseRunning, now, f.class
	q.running++
	f.at.running++
	f.account.gate.running++
	if f.class == Free {
		f.service.freeRun.pushBack(t)
	}
}

// release takes a dispatched ticket off its upstream.
func (c *Controller) release(t *ticket) {
	f := t.flow
	f.service.queues[t.class].running--
	f.at.running--
	f.account.gate.running--
	if t.phase == phaseYielding {
		f.service.yielding--
	} else if t.class == Free {
		f.service.freeRun.remove(t)
	}
	c.unblock(f.account)
	c.forgetRemoved(f.account)
}

// forgetRemoved drops the state of a removed account once nothing of it runs.
func (c *Controller) forgetRemoved(a *account) {
	if !a.removed || a.gate.running > 0 || c.accounts[a.id] != a {
		return
	}
	for _, f := range a.flows {
		f.service.forget(f)
	}
	delete(c.accounts, a.id)
}

// unblock makes the flows of an account eligible that its limits held back.
func (c *Controller) unblock(a *account) {
	for _, f := range a.flows {
		if f.parkedUntil.IsZero() {
			f.service.queues[f.class].activate(f)
		}
	}
}

// unpark makes flows eligible whose token bucket has refilled.
func (c *Controller) unpark(now time.Time) {
	kept := c.parked[:0]
	for _, f := range c.parked {
		switch {
		case f.parkedUntil.IsZero():
			f.listed = false
		case f.parkedUntil.After(now):
			kept = append(kept, f)
		default:
			f.parkedUntil, f.listed = time.Time{}, false
			f.service.queues[f.class].activate(f)
		}
	}
	clear(c.parked[len(kept):])
	c.parked = kept
}

// latestStart returns when a request that was submitted at a time must have
// been dispatched to be of use, zero for no bound.
func (c *Controller) latestStart(s *service, submitted time.Time, r Request) time.Time {
	var latest time.Time
	if !r.Deadline.IsZero() {
		latest = r.Deadline.Add(-r.Expected)
	}
	if s.rules.MaxQueue > 0 {
		if bound := submitted.Add(s.rules.MaxQueue); latest.IsZero() || bound.Before(latest) {
			latest = bound
		}
	}
	return latest
}

// remove ends a queued ticket and returns its charge.
func (c *Controller) remove(now time.Time, t *ticket) {
	c.unqueue(t)
	delete(c.tickets, t.id)
	if t.paid && t.preemptions == 0 {
		c.charge(now, t, -1)
	}
}

// charge takes the cost of a request from the buckets of its account, or
// returns it when the sign is negative.
func (c *Controller) charge(now time.Time, t *ticket, sign float64) {
	t.flow.at.charge(now, sign, sign*float64(t.req.Tokens))
	t.flow.account.gate.charge(now, sign, sign*float64(t.req.Tokens))
}

// drop ends a queued ticket for a reason that its caller is told.
func (c *Controller) drop(now time.Time, t *ticket, reason Reason, retryAfter time.Duration) Rejected {
	c.remove(now, t)
	return Rejected{Ticket: t.id, ID: t.req.ID, Reason: reason, RetryAfter: retryAfter}
}

// apply puts rules in force and returns the queued requests that they refuse.
func (c *Controller) apply(now time.Time, f *flow, r Rules) []Rejected {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	a := f.account
	accountRules := r
	accountRules.AtService = Limits{}
	if a.known && f.known && f.rules == r && a.rules == accountRules {
		return nil
	}
	tightened := false
	if !a.known || a.rules.Account != r.Account {
		tightened = a.gate.configure(now, r.Account, c.opts.Burst)
	}
	if !f.known || f.rules.AtService != r.AtService {
		tightened = f.at.configure(now, r.AtService, c.opts.Burst) || tightened
	}
	a.known, a.rules, f.known, f.rules = true, accountRules, true, r
	var out []Rejected
	for _, other := range a.flows {
		other.weight, other.parkedUntil = r.Weight, time.Time{}
		if tightened {
			out = append(out, c.recharge(now, other)...)
		}
		if other.class != r.Class {
			c.reclassify(other, r.Class)
			out = append(out, c.trim(now, other.service)...)
		}
	}
	c.unblock(a)
	return out
}

// reclassify moves the queued work of a flow to another class.
func (c *Controller) reclassify(f *flow, class Class) {
	old := &f.service.queues[f.class]
	old.deactivate(f)
	old.queued -= f.queue.size
	f.class = class
	f.finish = 0 // virtual times of the two classes do not compare
	f.service.queues[class].queued += f.queue.size
}

// recharge applies a lowered rate to the queued work of a flow. What was paid
// at the old rate is returned, then requests pay again in order; those that the
// bucket cannot pay for now pay when they are dispatched. Work that a rate of
// zero will never let pass is refused at once.
func (c *Controller) recharge(now time.Time, f *flow) []Rejected {
	var out []Rejected
	for t := f.queue.head; t != nil; t = t.next {
		if t.paid && t.preemptions == 0 {
			t.paid = false
			c.charge(now, t, -1)
		}
	}
	for t := f.queue.head; t != nil; {
		next := t.next
		if !t.paid {
			switch max(f.at.wait(now, t.req.Tokens), f.account.gate.wait(now, t.req.Tokens)) {
			case 0:
				t.paid = true
				c.charge(now, t, 1)
			case never:
				out = append(out, c.drop(now, t, RateLimited, 0))
			}
		}
		t = next
	}
	return out
}

// trim refuses the latest queued requests that exceed the bounds of a service.
func (c *Controller) trim(now time.Time, s *service) []Rejected {
	var out []Rejected
	for _, f := range s.ordered {
		for f.queue.size > s.rules.AccountQueueSize {
			out = append(out, c.drop(now, f.queue.tail, QueueFull, c.retryAfter(s, f.class)))
		}
	}
	for class := Paying; class < classes; class++ {
		for s.queues[class].queued > s.rules.QueueSize {
			t := s.newestQueued(class)
			out = append(out, c.drop(now, t, QueueFull, c.retryAfter(s, class)))
		}
	}
	return out
}

// newestQueued returns the latest queued request of a class.
func (s *service) newestQueued(class Class) *ticket {
	var newest *ticket
	for _, f := range s.ordered {
		if t := f.queue.tail; t != nil && f.class == class && (newest == nil || t.id > newest.id) {
			newest = t
		}
	}
	return newest
}

func (c *Controller) newestQueuedFree() *ticket {
	var newest *ticket
	for _, s := range c.order {
		if s.queues[Free].queued == 0 {
			continue
		}
		if t := s.newestQueued(Free); newest == nil || t.id > newest.id {
			newest = t
		}
	}
	return newest
}

// waitingPaying counts the queued paying requests that no concurrency limit of
// their account holds back.
func (s *service) waitingPaying() int {
	waiting := 0
	for _, f := range s.queues[Paying].flows {
		waiting += min(f.queue.size, f.at.room(), f.account.gate.room())
	}
	return waiting
}

// forget removes a flow that has no work left.
func (s *service) forget(f *flow) {
	delete(s.flows, f.account.id)
	for i, other := range s.ordered {
		if other == f {
			s.ordered = append(s.ordered[:i], s.ordered[i+1:]...)
			return
		}
	}
}

// observe adds a run time to the moving average.
func (s *service) observe(run time.Duration) {
	if s.meanRun == 0 {
		s.meanRun = run
		return
	}
	const weight = 16
	s.meanRun += (run - s.meanRun) / weight
}
