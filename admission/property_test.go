package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// harness drives a controller at random and checks what callers rely on after
// every step.
type harness struct {
	t        *rapid.T
	c        *Controller
	now      time.Time
	capacity Capacity
	limits   map[string]Limits
	class    map[string]Class
	submits  int
	queued   map[Ticket]Request
	running  map[Ticket]Request
	yielding map[Ticket]bool
	resumed  map[Ticket]bool // gave way once
	ended    map[Ticket]string
	latest   map[Ticket]time.Time // when a queued ticket is too late
}

const maxQueue = 5 * time.Second

func newHarness(t *rapid.T) *harness {
	opts := Options{MaxStreams: 40, Service: ServiceRules{QueueSize: 15, AccountQueueSize: 8, MaxQueue: maxQueue}}
	return &harness{t: t, c: New(exact(opts)), now: start, limits: map[string]Limits{}, class: map[string]Class{},
		queued: map[Ticket]Request{}, running: map[Ticket]Request{}, yielding: map[Ticket]bool{}, resumed: map[Ticket]bool{}, ended: map[Ticket]string{}, latest: map[Ticket]time.Time{}}
}

func (h *harness) rules(account string) Rules {
	l, ok := h.limits[account]
	if !ok {
		l = Unlimited()
	}
	return Rules{Class: h.class[account], Weight: 1, Account: l, AtService: Unlimited()}
}

func (h *harness) end(id Ticket, how string) {
	require.Empty(h.t, h.ended[id], "ticket %d ended twice", id)
	h.ended[id] = how
	delete(h.queued, id)
	delete(h.running, id)
	delete(h.yielding, id)
}

func (h *harness) reject(rejected []Rejected) {
	for _, r := range rejected {
		require.Contains(h.t, h.queued, r.Ticket)
		h.end(r.Ticket, "rejected")
	}
}

func (h *harness) admit(id Ticket, r Request) {
	if !r.Deadline.IsZero() {
		require.True(h.t, h.now.Before(r.Deadline), "admitted after its deadline")
	}
	// FIFO within an account, but for requests that resume and those that Next
	// has passed over because it is too late for them.
	for other, q := range h.queued {
		late := !h.now.Before(h.latest[other])
		if q.Account == r.Account && other < id && !late {
			require.True(h.t, h.resumed[other] || h.resumed[id], "ticket %d overtook %d", id, other)
		}
	}
	delete(h.queued, id)
	h.running[id] = r
	if limit := h.limits[r.Account].Concurrent; h.limits[r.Account] != (Limits{}) && limit >= 0 {
		count := 0
		for _, other := range h.running {
			if other.Account == r.Account {
				count++
			}
		}
		require.LessOrEqual(h.t, count, limit, "concurrency limit")
	}
}

func (h *harness) next() {
	for _, id := range h.c.Next(h.now, "s") {
		require.Contains(h.t, h.queued, id)
		h.admit(id, h.queued[id])
	}
	h.reject(h.c.Expire(h.now))
	h.checkWorkConserving()
}

// checkWorkConserving requires that no request waits for a slot that is free,
// unless the limits of its account hold it back.
func (h *harness) checkWorkConserving() {
	running := map[string]int{}
	for _, r := range h.running {
		running[r.Account]++
	}
	if len(h.running) >= h.capacity.Slots {
		return
	}
	for _, r := range h.queued {
		limit, limited := h.limits[r.Account]
		held := limited && (limit.Concurrent >= 0 && running[r.Account] >= limit.Concurrent || limit.RequestsPerSecond >= 0)
		require.True(h.t, held, "a request of %s waits while %d of %d slots are used", r.Account, len(h.running), h.capacity.Slots)
	}
}

func (h *harness) submit() {
	account := fmt.Sprint(rapid.IntRange(0, 3).Draw(h.t, "account"))
	if _, ok := h.class[account]; !ok {
		h.class[account] = Class(rapid.IntRange(0, 1).Draw(h.t, "class"))
	}
	h.submits++
	r := Request{ID: fmt.Sprint(h.submits), Account: account, Service: "s", Rules: h.rules(account), Tokens: rapid.IntRange(0, 50).Draw(h.t, "tokens")}
	if rapid.Bool().Draw(h.t, "deadline") {
		r.Deadline = h.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(h.t, "wait")) * time.Millisecond)
	}
	d := h.c.Submit(h.now, r)
	h.reject(d.Dropped)
	switch d.Verdict {
	case Admitted:
		h.admit(d.Ticket, r)
	case Queued:
		h.queued[d.Ticket] = r
		h.latest[d.Ticket] = h.now.Add(maxQueue)
		if !r.Deadline.IsZero() && r.Deadline.Before(h.latest[d.Ticket]) {
			h.latest[d.Ticket] = r.Deadline
		}
	case RejectedNow:
		require.Zero(h.t, d.Ticket)
		require.NotEmpty(h.t, d.Reason)
	}
}

// pick draws one of a set of tickets in a fixed order.
func pick[V any](h *harness, set map[Ticket]V) (Ticket, bool) {
	var ids []Ticket
	for id := Ticket(1); int(id) <= h.submits; id++ {
		if _, ok := set[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(h.t, "ticket"), true
}

func (h *harness) step() {
	switch rapid.IntRange(0, 9).Draw(h.t, "step") {
	case 0, 1, 2:
		h.submit()
	case 3, 4:
		if id, ok := pick(h, h.running); ok {
			h.c.Done(h.now, id, Usage{Tokens: rapid.IntRange(-1, 80).Draw(h.t, "used")})
			h.end(id, "done")
		}
	case 5:
		if id, ok := pick(h, h.queued); ok {
			h.c.Cancel(h.now, id)
			h.end(id, "cancelled")
		}
	case 6:
		h.now = h.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(h.t, "pass")) * time.Millisecond)
	case 7:
		slots := rapid.IntRange(0, 6).Draw(h.t, "slots")
		h.capacity = Capacity{Slots: slots, Load: slots, Entries: 1, Share: float64(slots)}
		h.c.SetCapacity("s", h.capacity)
	case 8:
		for _, id := range h.c.Preempt(h.now) {
			require.Equal(h.t, Free, h.class[h.running[id].Account])
			h.yielding[id] = true
		}
		if id, ok := pick(h, h.yielding); ok {
			h.c.Yielded(h.now, id)
			h.queued[id], h.resumed[id] = h.running[id], true
			delete(h.running, id)
			delete(h.yielding, id)
		}
	case 9:
		account := fmt.Sprint(rapid.IntRange(0, 3).Draw(h.t, "account"))
		if _, ok := h.class[account]; !ok {
			return
		}
		h.limits[account] = Limits{RequestsPerSecond: float64(rapid.IntRange(-1, 20).Draw(h.t, "rate")), Concurrent: rapid.IntRange(-1, 4).Draw(h.t, "limit"), TokensPerMinute: -1}
		h.reject(h.c.Update(h.now, account, "s", h.rules(account)))
	}
	h.next()
}

// Guards against tickets that are lost or end twice, concurrency limits that
// are exceeded, requests that overtake others of their account or run past
// their deadline, and idle slots while admissible work waits.
func TestControllerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		h.c.SetService(h.now, "s", h.c.opts.Service)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			h.step()
			require.Equal(t, len(h.queued)+len(h.running), h.c.Open())
		}
		for id := range h.queued {
			h.c.Cancel(h.now, id)
		}
		for id := range h.running {
			h.c.Done(h.now, id, Usage{Tokens: -1})
		}
		require.Zero(t, h.c.Open())
		paying, free := h.c.Demand("s")
		require.Equal(t, Demand{}, paying)
		require.Equal(t, Demand{}, free)
	})
}
