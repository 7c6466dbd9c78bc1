package admission

import "time"

// Submit decides on a request. A queued request is returned by Next once it is
// admitted, or by Expire, Update or a later Decision when it is refused.
func (c *Controller) Submit(now time.Time, r Request) Decision {
	s, a := c.service(r.Service), c.account(r.Account)
	a.removed = false
	var d Decision
	f := c.flow(s, a, r.Rules.Class)
	d.Dropped = c.apply(now, f, r.Rules)
	for _, g := range []*gate{&a.gate, &f.at} {
		g.offered.add(now, 1)
		g.offeredTokens.add(now, float64(r.Tokens))
	}
	latest := c.latestStart(s, now, r)
	if !latest.IsZero() && !now.Before(latest) {
		return d.reject(DeadlineExceeded, 0)
	}
	if wait := max(a.gate.wait(now, r.Tokens), f.at.wait(now, r.Tokens)); wait > 0 || c.unpaidAhead(f) {
		return d.reject(RateLimited, min(max(wait, minRetryAfter), maxRetryAfter))
	}
	if !c.makeRoom(now, f, &d) {
		return d
	}
	t := c.enqueue(now, f, r, latest)
	d.Ticket = t.id
	if c.isNext(now, t) {
		c.dispatch(now, t)
		d.Verdict = Admitted
	} else {
		d.Verdict = Queued
	}
	return d
}

func (d Decision) reject(reason Reason, retryAfter time.Duration) Decision {
	d.Verdict, d.Reason, d.RetryAfter = RejectedNow, reason, retryAfter
	return d
}

// unpaidAhead returns whether queued work of the flow still has to be charged,
// which happens after a limit was lowered. New work does not overtake it.
func (c *Controller) unpaidAhead(f *flow) bool {
	return f.queue.tail != nil && !f.queue.tail.paid
}

// makeRoom drops work that can no longer be of use, then free work in favour of
// paying work, and reports whether there is room for one more request.
func (c *Controller) makeRoom(now time.Time, f *flow, d *Decision) bool {
	s := f.service
	queueFull := func() bool {
		return s.queues[f.class].queued >= s.rules.QueueSize || f.queue.size >= s.rules.AccountQueueSize
	}
	streamsFull := func() bool { return len(c.tickets) >= c.opts.MaxStreams }
	// A request that can be dispatched at once needs no place in the queue.
	direct := c.room(s, f.class) > 0 && f.queue.size == 0 && s.queues[f.class].Len() == 0
	if (queueFull() && !direct) || streamsFull() {
		d.Dropped = append(d.Dropped, c.Expire(now)...)
	}
	if streamsFull() && f.class == Paying {
		if t := c.newestQueuedFree(); t != nil {
			d.Dropped = append(d.Dropped, c.drop(now, t, TooManyStreams, c.retryAfter(t.flow.service, Free)))
		}
	}
	switch {
	case streamsFull():
		*d = d.reject(TooManyStreams, c.retryAfter(s, f.class))
		return false
	case queueFull() && !direct:
		*d = d.reject(QueueFull, c.retryAfter(s, f.class))
		return false
	}
	return true
}

// Next returns the queued requests of a service that are now admitted, paying
// work first. It is to be called after each change that can free capacity:
// Done, Yielded, SetCapacity, Update, and the time that NextDeadline names.
func (c *Controller) Next(now time.Time, service string) []Ticket {
	s := c.services[service]
	if s == nil {
		return nil
	}
	c.unpark(now)
	var out []Ticket
	for class := Paying; class < classes; class++ {
		for room := c.room(s, class); room > 0; room-- {
			t := c.head(now, s, class)
			if t == nil {
				break
			}
			if !t.latestStart.IsZero() && !now.Before(t.latestStart) {
				c.late = append(c.late, c.drop(now, t, QueueTimeout, c.retryAfter(s, class)))
				room++
				continue
			}
			c.dispatch(now, t)
			out = append(out, t.id)
		}
	}
	return out
}

// Done ends an admitted request and settles its token use. A ticket that is
// not dispatched is left alone.
func (c *Controller) Done(now time.Time, id Ticket, u Usage) {
	t := c.tickets[id]
	if t == nil || t.phase == phaseQueued {
		return
	}
	if u.Tokens >= 0 {
		excess := float64(u.Tokens - t.req.Tokens)
		t.flow.at.charge(now, 0, excess)
		t.flow.account.gate.charge(now, 0, excess)
	}
	t.flow.service.observe(now.Sub(t.admittedAt))
	c.release(t)
	delete(c.tickets, id)
}

// Cancel ends a request whose caller has gone, queued or dispatched. A queued
// request gets its charge back; a dispatched one keeps its estimate.
func (c *Controller) Cancel(now time.Time, id Ticket) {
	t := c.tickets[id]
	switch {
	case t == nil:
	case t.phase == phaseQueued:
		c.remove(now, t)
	default:
		c.release(t)
		delete(c.tickets, id)
	}
}

// Yielded reports that a ticket named by Preempt is off its upstream. The
// request goes to the head of its account's queue, to be resumed when Next
// returns it again, and is not charged twice.
func (c *Controller) Yielded(now time.Time, id Ticket) {
	t := c.tickets[id]
	if t == nil || t.phase != phaseYielding {
		return
	}
	f := t.flow
	if f.account.removed {
		c.release(t)
		delete(c.tickets, id)
		c.late = append(c.late, Rejected{Ticket: id, ID: t.req.ID, Reason: Refused})
		return
	}
	c.release(t)
	t.preemptions++
	// It has been served for a part and waits without the queue's time bound,
	// but not past the caller's deadline.
	t.latestStart = t.req.Deadline
	f.queue.pushFront(t)
	c.queued(t)
	if f.parkedUntil.IsZero() {
		f.service.queues[f.class].activate(f)
	}
}

// Expire ends the queued requests that can no longer be served in time, the
// earliest deadline first, and returns them with those that Next passed over.
func (c *Controller) Expire(now time.Time) []Rejected {
	out := c.late
	c.late = nil
	for len(c.due) > 0 && !now.Before(c.due[0].latestStart) {
		t := c.due[0]
		out = append(out, c.drop(now, t, QueueTimeout, c.retryAfter(t.flow.service, t.flow.class)))
	}
	return out
}

// Preempt names running free requests that are to give way to waiting paying
// work, the latest dispatched first, as few as are needed. The caller stops
// each on its upstream and reports Yielded, or Done when it had just ended.
// Where all upstreams honour priorities they give way there, and none is named.
func (c *Controller) Preempt(now time.Time) []Ticket {
	var out []Ticket
	for _, s := range c.order {
		if s.capacity.Priorities || s.capacity.Slots <= 0 {
			continue
		}
		need := s.waitingPaying() - c.room(s, Paying) - s.yielding
		for t := s.freeRun.tail; t != nil && need > 0; {
			prev := t.prev
			if c.mayYield(now, t) {
				s.freeRun.remove(t)
				t.phase = phaseYielding
				s.yielding++
				need--
				out = append(out, t.id)
			}
			t = prev
		}
	}
	return out
}

// mayYield returns whether a running free request can be asked to give way. One
// that has run for longer than expected may go on for any time, so it can.
func (c *Controller) mayYield(now time.Time, t *ticket) bool {
	if t.preemptions >= c.opts.MaxPreemptions {
		return false
	}
	if t.req.Expected <= 0 {
		return true
	}
	left := t.admittedAt.Add(t.req.Expected).Sub(now)
	return left <= 0 || left > c.opts.NearEnd
}

// SetCapacity replaces what is known of the upstreams of a service.
func (c *Controller) SetCapacity(service string, capacity Capacity) {
	c.service(service).capacity = capacity
}

// SetService puts the queue bounds of a service in force, for queued requests
// too. It returns the requests that no longer fit, the latest first.
func (c *Controller) SetService(now time.Time, service string, rules ServiceRules) []Rejected {
	s := c.service(service)
	if rules == s.rules {
		return nil
	}
	s.rules = rules
	for _, f := range s.ordered {
		for t := f.queue.head; t != nil; t = t.next {
			if t.preemptions == 0 {
				c.setLatestStart(t, c.latestStart(s, t.queuedAt, t.req))
			}
		}
	}
	return c.trim(now, s)
}

// Update puts the rules of an account at a service in force, for queued
// requests too. It returns the requests that no longer fit. Work that is
// already dispatched stays dispatched.
func (c *Controller) Update(now time.Time, accountID, service string, r Rules) []Rejected {
	return c.apply(now, c.flow(c.service(service), c.account(accountID), r.Class), r)
}

// RemoveAccount refuses the queued requests of an account that no longer
// exists and forgets it once its dispatched requests have ended.
func (c *Controller) RemoveAccount(now time.Time, id string) []Rejected {
	a := c.accounts[id]
	if a == nil {
		return nil
	}
	var out []Rejected
	for _, f := range a.flows {
		for f.queue.head != nil {
			out = append(out, c.drop(now, f.queue.head, Refused, 0))
		}
		f.parkedUntil = time.Time{}
	}
	a.removed = true
	c.forgetRemoved(a)
	return out
}
