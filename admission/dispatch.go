package admission

import (
	"container/heap"
	"time"
)

// enqueue charges a request and appends it to the queue of its flow.
func (c *Controller) enqueue(now time.Time, f *flow, r Request, latest time.Time) *ticket {
	c.lastTicket++
	t := &ticket{id: c.lastTicket, req: r, flow: f, queuedAt: now, latestStart: latest, deadlineIndex: -1, charged: true}
	c.charge(now, t, 1)
	c.tickets[t.id] = t
	f.queue.pushBack(t)
	c.countQueued(t)
	if f.throttledUntil.IsZero() && f.queue.size == 1 {
		f.service.queues[f.class].activate(f)
	}
	return t
}

// countQueued updates phase, counters and deadline heap for a ticket that was
// added to its flow's queue.
func (c *Controller) countQueued(t *ticket) {
	t.phase = phaseQueued
	t.flow.service.queues[t.flow.class].queued++
	t.flow.limiter.queued++
	t.flow.account.limiter.queued++
	c.setLatestStart(t, t.latestStart)
}

// setLatestStart sets the latest start of a ticket and updates the deadline
// heap. A zero time removes the ticket from the heap.
func (c *Controller) setLatestStart(t *ticket, at time.Time) {
	t.latestStart = at
	switch {
	case at.IsZero() && t.deadlineIndex >= 0:
		heap.Remove(&c.deadlines, t.deadlineIndex)
	case at.IsZero():
	case t.deadlineIndex >= 0:
		heap.Fix(&c.deadlines, t.deadlineIndex)
	default:
		heap.Push(&c.deadlines, t)
	}
}

// dequeue removes a ticket from its flow's queue.
func (c *Controller) dequeue(t *ticket) {
	f := t.flow
	q := &f.service.queues[f.class]
	f.queue.remove(t)
	q.queued--
	f.limiter.queued--
	f.account.limiter.queued--
	c.setLatestStart(t, time.Time{})
	if f.queue.size == 0 {
		q.deactivate(f)
	}
}

// isNextToDispatch reports whether Next would admit t first.
func (c *Controller) isNextToDispatch(now time.Time, t *ticket) bool {
	s := t.flow.service
	if t.flow.class == Free && c.availableSlots(s, Paying) > 0 && c.nextEligible(now, s, Paying) != nil {
		return false
	}
	return c.availableSlots(s, t.flow.class) > 0 && c.nextEligible(now, s, t.flow.class) == t
}

// nextEligible returns the next ticket of a class in fair queueing order. Flows
// that exceed a limit are taken out of the class queue; those that wait for a
// token bucket are added to the throttled list.
func (c *Controller) nextEligible(now time.Time, s *service, class Class) *ticket {
	q := &s.queues[class]
	for len(q.flows) > 0 {
		f := q.flows[0]
		blocked, wait := f.checkLimits(now)
		if !blocked {
			return f.queue.head
		}
		q.deactivate(f)
		if wait == waitForever {
			continue
		}
		if wait > 0 {
			f.throttledUntil = now.Add(wait)
			if !f.inThrottledList {
				f.inThrottledList = true
				c.throttled = append(c.throttled, f)
			}
		}
	}
	return nil
}

// dispatch marks the head of a flow's queue as running. A request that is not
// charged yet is charged here.
func (c *Controller) dispatch(now time.Time, t *ticket) {
	f := t.flow
	q := &f.service.queues[f.class]
	f.queue.remove(t)
	q.queued--
	f.limiter.queued--
	f.account.limiter.queued--
	c.setLatestStart(t, time.Time{})
	q.advance(f, t)
	if !t.charged {
		t.charged = true
		c.charge(now, t, 1)
	}
	t.phase, t.dispatchedAt, t.dispatchClass = phaseRunning, now, f.class
	q.running++
	f.limiter.running++
	f.account.limiter.running++
	if f.class == Free {
		f.service.runningFree.pushBack(t)
	}
}

// release removes a dispatched ticket from the running counts.
func (c *Controller) release(t *ticket) {
	f := t.flow
	f.service.queues[t.dispatchClass].running--
	f.limiter.running--
	f.account.limiter.running--
	if t.phase == phasePreempting {
		f.service.preempting--
	} else if t.dispatchClass == Free {
		f.service.runningFree.remove(t)
	}
	c.reactivateFlows(f.account)
	c.deleteIfRemoved(f.account)
}

// deleteIfRemoved deletes the state of a removed account that has no running
// requests.
func (c *Controller) deleteIfRemoved(a *account) {
	if !a.removed || a.limiter.running > 0 || c.accounts[a.id] != a {
		return
	}
	for _, f := range a.flows {
		f.service.removeFlow(f)
	}
	delete(c.accounts, a.id)
}

// reactivateFlows makes the flows of an account eligible again after its
// concurrency limit or running count has changed. Flows that wait for a token
// bucket are left out.
func (c *Controller) reactivateFlows(a *account) {
	for _, f := range a.flows {
		if f.throttledUntil.IsZero() {
			f.service.queues[f.class].activate(f)
		}
	}
}

// resumeThrottled makes flows eligible again whose token bucket has refilled.
func (c *Controller) resumeThrottled(now time.Time) {
	kept := c.throttled[:0]
	for _, f := range c.throttled {
		switch {
		case f.throttledUntil.IsZero():
			f.inThrottledList = false
		case f.throttledUntil.After(now):
			kept = append(kept, f)
		default:
			f.throttledUntil, f.inThrottledList = time.Time{}, false
			f.service.queues[f.class].activate(f)
		}
	}
	clear(c.throttled[len(kept):])
	c.throttled = kept
}

// latestStart returns the time by which a request must be dispatched to meet
// its deadline and the maximum queue time. Zero means no limit.
func (c *Controller) latestStart(s *service, submitted time.Time, r Request) time.Time {
	var latest time.Time
	if !r.Deadline.IsZero() {
		latest = r.Deadline.Add(-r.ExpectedRunTime)
	}
	if s.rules.MaxQueue > 0 {
		if bound := submitted.Add(s.rules.MaxQueue); latest.IsZero() || bound.Before(latest) {
			latest = bound
		}
	}
	return latest
}

// removeQueued deletes a queued ticket and refunds its charge, unless it was
// partly served before.
func (c *Controller) removeQueued(now time.Time, t *ticket) {
	c.dequeue(t)
	delete(c.tickets, t.id)
	if t.charged && t.preemptions == 0 {
		c.charge(now, t, -1)
	}
}

// charge takes the cost of a request from the token buckets of its account. A
// sign of -1 refunds it.
func (c *Controller) charge(now time.Time, t *ticket, sign float64) {
	t.flow.limiter.charge(now, sign, sign*float64(t.req.Tokens))
	t.flow.account.limiter.charge(now, sign, sign*float64(t.req.Tokens))
}

// rejectQueued deletes a queued ticket and returns the rejection to report.
func (c *Controller) rejectQueued(now time.Time, t *ticket, reason Reason, retryAfter time.Duration) Rejected {
	c.removeQueued(now, t)
	return Rejected{Ticket: t.id, ID: t.req.ID, Reason: reason, RetryAfter: retryAfter}
}

// applyRules sets the rules of an account and returns the queued requests that
// they reject.
func (c *Controller) applyRules(now time.Time, f *flow, r Rules) []Rejected {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	a := f.account
	accountRules := r
	accountRules.AtService = Limits{}
	if a.configured && f.configured && f.rules == r && a.rules == accountRules {
		return nil
	}
	tightened := false
	if !a.configured || a.rules.Account != r.Account {
		tightened = a.limiter.configure(now, r.Account, c.opts.Burst)
	}
	if !f.configured || f.rules.AtService != r.AtService {
		tightened = f.limiter.configure(now, r.AtService, c.opts.Burst) || tightened
	}
	a.configured, a.rules, f.configured, f.rules = true, accountRules, true, r
	var out []Rejected
	for _, other := range a.flows {
		other.weight, other.throttledUntil = r.Weight, time.Time{}
		if tightened {
			out = append(out, c.rechargeQueued(now, other)...)
		}
		if other.class != r.Class {
			c.reclassifyFlow(other, r.Class)
			out = append(out, c.enforceQueueBounds(now, other.service)...)
		}
	}
	c.reactivateFlows(a)
	return out
}

// reclassifyFlow moves a flow with its queued requests to another class.
func (c *Controller) reclassifyFlow(f *flow, class Class) {
	old := &f.service.queues[f.class]
	old.deactivate(f)
	old.queued -= f.queue.size
	f.class = class
	f.virtualFinish = 0 // virtual times of different classes are not comparable
	f.service.queues[class].queued += f.queue.size
}

// rechargeQueued applies a lowered rate to the queued requests of a flow. It
// refunds all charges made at the old rate, then charges the requests again in
// order. Requests that exceed the bucket are charged when they are dispatched.
// Requests that a rate of zero would never admit are rejected and returned.
func (c *Controller) rechargeQueued(now time.Time, f *flow) []Rejected {
	var out []Rejected
	for t := f.queue.head; t != nil; t = t.next {
		if t.charged && t.preemptions == 0 {
			t.charged = false
			c.charge(now, t, -1)
		}
	}
	for t := f.queue.head; t != nil; {
		next := t.next
		if !t.charged {
			switch max(f.limiter.waitTime(now, t.req.Tokens), f.account.limiter.waitTime(now, t.req.Tokens)) {
			case 0:
				t.charged = true
				c.charge(now, t, 1)
			case waitForever:
				out = append(out, c.rejectQueued(now, t, RateLimited, 0))
			}
		}
		t = next
	}
	return out
}

// enforceQueueBounds rejects the latest queued requests beyond the queue limits
// of a service.
func (c *Controller) enforceQueueBounds(now time.Time, s *service) []Rejected {
	var out []Rejected
	for _, f := range s.flowList {
		for f.queue.size > s.rules.AccountQueueSize {
			out = append(out, c.rejectQueued(now, f.queue.tail, QueueFull, c.retryAfter(s, f.class)))
		}
	}
	for class := Paying; class < classCount; class++ {
		for s.queues[class].queued > s.rules.QueueSize {
			t := s.newestQueued(class)
			out = append(out, c.rejectQueued(now, t, QueueFull, c.retryAfter(s, class)))
		}
	}
	return out
}

// newestQueued returns the latest queued request of a class.
func (s *service) newestQueued(class Class) *ticket {
	var newest *ticket
	for _, f := range s.flowList {
		if t := f.queue.tail; t != nil && f.class == class && (newest == nil || t.id > newest.id) {
			newest = t
		}
	}
	return newest
}

// newestQueuedFree returns the latest queued free request of all services.
func (c *Controller) newestQueuedFree() *ticket {
	var newest *ticket
	for _, s := range c.serviceList {
		if s.queues[Free].queued == 0 {
			continue
		}
		if t := s.newestQueued(Free); newest == nil || t.id > newest.id {
			newest = t
		}
	}
	return newest
}

// dispatchablePaying counts the queued paying requests that are within the
// concurrency limits of their accounts.
func (s *service) dispatchablePaying() int {
	waiting := 0
	for _, f := range s.queues[Paying].flows {
		waiting += min(f.queue.size, f.limiter.availableConcurrency(), f.account.limiter.availableConcurrency())
	}
	return waiting
}

// removeFlow removes a flow that has no requests left.
func (s *service) removeFlow(f *flow) {
	delete(s.flows, f.account.id)
	for i, other := range s.flowList {
		if other == f {
			s.flowList = append(s.flowList[:i], s.flowList[i+1:]...)
			return
		}
	}
}

// recordRunTime adds a run time to the moving average.
func (s *service) recordRunTime(runTime time.Duration) {
	if s.meanRunTime == 0 {
		s.meanRunTime = runTime
		return
	}
	const weight = 16
	s.meanRunTime += (runTime - s.meanRunTime) / weight
}
