package admission

import "time"

// Submit admits, queues or rejects a request. A queued request is later
// returned by Next if it is admitted. If it is rejected, it is returned by
// Expire, Update, SetService or RemoveAccount, or in the Decision of a later
// Submit.
func (c *Controller) Submit(now time.Time, r Request) Decision {
	s, a := c.service(r.Service), c.account(r.Account)
	a.removed = false
	var decision Decision
	f := c.flow(s, a, r.Rules.Class)
	decision.Dropped = c.applyRules(now, f, r.Rules)
	for _, lim := range []*limiter{&a.limiter, &f.limiter} {
		lim.offeredRequests.add(now, 1)
		lim.offeredTokens.add(now, float64(r.Tokens))
	}
	latest := c.latestStart(s, now, r)
	if !latest.IsZero() && !now.Before(latest) {
		return decision.rejected(DeadlineExceeded, 0)
	}
	if wait := max(a.limiter.waitTime(now, r.Tokens), f.limiter.waitTime(now, r.Tokens)); wait > 0 || c.hasUnchargedQueued(f) {
		return decision.rejected(RateLimited, min(max(wait, minRetryAfter), maxRetryAfter))
	}
	if !c.ensureCapacity(now, f, &decision) {
		return decision
	}
	t := c.enqueue(now, f, r, latest)
	decision.Ticket = t.id
	if c.isNextToDispatch(now, t) {
		c.dispatch(now, t)
		decision.Verdict = Admitted
	} else {
		decision.Verdict = Queued
	}
	return decision
}

func (d Decision) rejected(reason Reason, retryAfter time.Duration) Decision {
	d.Verdict, d.Reason, d.RetryAfter = RejectedImmediately, reason, retryAfter
	return d
}

// hasUnchargedQueued reports whether the flow has queued requests that are not
// charged yet, which happens after a limit was lowered. New requests must not
// overtake them.
func (c *Controller) hasUnchargedQueued(f *flow) bool {
	return f.queue.tail != nil && !f.queue.tail.charged
}

// ensureCapacity makes room for one more request if queue or stream limits are
// reached. It rejects expired requests first, then, for a paying request, a
// free one. If there is still no room, it stores the rejection in d and returns
// false.
func (c *Controller) ensureCapacity(now time.Time, f *flow, d *Decision) bool {
	s := f.service
	queueFull := func() bool {
		return s.queues[f.class].queued >= s.rules.QueueSize || f.queue.size >= s.rules.AccountQueueSize
	}
	streamsFull := func() bool { return len(c.tickets) >= c.opts.MaxStreams }
	// Queue limits do not apply to a request that is dispatched immediately.
	dispatchNow := c.availableSlots(s, f.class) > 0 && f.queue.size == 0 && s.queues[f.class].Len() == 0
	if (queueFull() && !dispatchNow) || streamsFull() {
		d.Dropped = append(d.Dropped, c.Expire(now)...)
	}
	if streamsFull() && f.class == Paying {
		if t := c.newestQueuedFree(); t != nil {
			d.Dropped = append(d.Dropped, c.rejectQueued(now, t, TooManyStreams, c.retryAfter(t.flow.service, Free)))
		}
	}
	switch {
	case streamsFull():
		*d = d.rejected(TooManyStreams, c.retryAfter(s, f.class))
		return false
	case queueFull() && !dispatchNow:
		*d = d.rejected(QueueFull, c.retryAfter(s, f.class))
		return false
	}
	return true
}

// Next admits queued requests of a service, paying ones first, and returns
// them. It must be called after each event that can free capacity: Done, Cancel
// of a dispatched request, Preempted, SetCapacity, Update, and the time returned
// by NextDeadline.
func (c *Controller) Next(now time.Time, service string) []Ticket {
	s := c.services[service]
	if s == nil {
		return nil
	}
	c.resumeThrottled(now)
	var out []Ticket
	for class := Paying; class < classCount; class++ {
		for slots := c.availableSlots(s, class); slots > 0; slots-- {
			t := c.nextEligible(now, s, class)
			if t == nil {
				break
			}
			if !t.latestStart.IsZero() && !now.Before(t.latestStart) {
				c.pendingRejections = append(c.pendingRejections, c.rejectQueued(now, t, QueueTimeout, c.retryAfter(s, class)))
				slots++
				continue
			}
			c.dispatch(now, t)
			out = append(out, t.id)
		}
	}
	return out
}

// Done ends a dispatched request and adjusts the token charge to the actual
// usage. It has no effect on a ticket that is not dispatched.
func (c *Controller) Done(now time.Time, id Ticket, u Usage) {
	t := c.tickets[id]
	if t == nil || t.phase == phaseQueued {
		return
	}
	if u.Tokens >= 0 {
		excess := float64(u.Tokens - t.req.Tokens)
		t.flow.limiter.charge(now, 0, excess)
		t.flow.account.limiter.charge(now, 0, excess)
	}
	t.flow.service.recordRunTime(now.Sub(t.dispatchedAt))
	c.release(t)
	delete(c.tickets, id)
}

// Cancel ends a queued or dispatched request whose caller has disconnected. The
// charge of a queued request is refunded; a dispatched one stays charged with
// the estimate.
func (c *Controller) Cancel(now time.Time, id Ticket) {
	t := c.tickets[id]
	switch {
	case t == nil:
	case t.phase == phaseQueued:
		c.removeQueued(now, t)
	default:
		c.release(t)
		delete(c.tickets, id)
	}
}

// Preempted reports that a request returned by Preempt has been stopped on its
// upstream. The request goes to the head of its account's queue and resumes
// when Next returns it. It is not charged again.
func (c *Controller) Preempted(now time.Time, id Ticket) {
	t := c.tickets[id]
	if t == nil || t.phase != phasePreempting {
		return
	}
	f := t.flow
	if f.account.removed {
		c.release(t)
		delete(c.tickets, id)
		c.pendingRejections = append(c.pendingRejections, Rejected{Ticket: id, ID: t.req.ID, Reason: Unauthorized})
		return
	}
	c.release(t)
	t.preemptions++
	// The request was partly served, so the maximum queue time does not apply
	// to it. The caller's deadline does.
	t.latestStart = t.req.Deadline
	f.queue.pushFront(t)
	c.countQueued(t)
	if f.throttledUntil.IsZero() {
		f.service.queues[f.class].activate(f)
	}
}

// Expire rejects the queued requests that can no longer be served in time, in
// order of deadline. It returns them together with the requests that Next and
// Preempted have rejected since the last call.
func (c *Controller) Expire(now time.Time) []Rejected {
	out := c.pendingRejections
	c.pendingRejections = nil
	for len(c.deadlines) > 0 && !now.Before(c.deadlines[0].latestStart) {
		t := c.deadlines[0]
		out = append(out, c.rejectQueued(now, t, QueueTimeout, c.retryAfter(t.flow.service, t.flow.class)))
	}
	return out
}

// Preempt selects running free requests to stop so that waiting paying requests
// can be dispatched. It selects no more than needed, the latest dispatched
// first. The caller stops each one on its upstream and calls Preempted, or Done
// if the request has ended in the meantime. Services whose upstreams all honor
// priorities are skipped, because the upstreams do the preemption.
func (c *Controller) Preempt(now time.Time) []Ticket {
	var out []Ticket
	for _, s := range c.serviceList {
		if s.capacity.Priorities || s.capacity.Slots <= 0 {
			continue
		}
		needed := s.dispatchablePaying() - c.availableSlots(s, Paying) - s.preempting
		for t := s.runningFree.tail; t != nil && needed > 0; {
			prev := t.prev
			if c.canPreempt(now, t) {
				s.runningFree.remove(t)
				t.phase = phasePreempting
				s.preempting++
				needed--
				out = append(out, t.id)
			}
			t = prev
		}
	}
	return out
}

// canPreempt reports whether a running free request may be preempted. A request
// that has exceeded its expected run time may be, as its end cannot be
// predicted.
func (c *Controller) canPreempt(now time.Time, t *ticket) bool {
	if t.preemptions >= c.opts.MaxPreemptions {
		return false
	}
	if t.req.ExpectedRunTime <= 0 {
		return true
	}
	remaining := t.dispatchedAt.Add(t.req.ExpectedRunTime).Sub(now)
	return remaining <= 0 || remaining > c.opts.NearEnd
}

// SetCapacity sets the capacity of a service.
func (c *Controller) SetCapacity(service string, capacity Capacity) {
	c.service(service).capacity = capacity
}

// SetService sets the queue limits of a service. They also apply to requests
// that are already queued; those that exceed the limits are rejected, latest
// first, and returned.
func (c *Controller) SetService(now time.Time, service string, rules ServiceRules) []Rejected {
	s := c.service(service)
	if rules == s.rules {
		return nil
	}
	s.rules = rules
	for _, f := range s.flowList {
		for t := f.queue.head; t != nil; t = t.next {
			if t.preemptions == 0 {
				c.setLatestStart(t, c.latestStart(s, t.queuedAt, t.req))
			}
		}
	}
	return c.enforceQueueBounds(now, s)
}

// Update sets the rules of an account at a service. They also apply to requests
// that are already queued; those that the new rules reject are returned.
// Dispatched requests are not affected.
func (c *Controller) Update(now time.Time, accountID, service string, r Rules) []Rejected {
	return c.applyRules(now, c.flow(c.service(service), c.account(accountID), r.Class), r)
}

// RemoveAccount rejects the queued requests of a deleted account and returns
// them. The account's state is released when its dispatched requests have
// ended.
func (c *Controller) RemoveAccount(now time.Time, id string) []Rejected {
	a := c.accounts[id]
	if a == nil {
		return nil
	}
	var out []Rejected
	for _, f := range a.flows {
		for f.queue.head != nil {
			out = append(out, c.rejectQueued(now, f.queue.head, Unauthorized, 0))
		}
		f.throttledUntil = time.Time{}
	}
	a.removed = true
	c.deleteIfRemoved(a)
	return out
}
