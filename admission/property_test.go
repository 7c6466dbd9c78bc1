package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// harness applies random operations to a controller and checks its invariants
// after every step.
type harness struct {
	t           *rapid.T
	c           *Controller
	now         time.Time
	capacity    Capacity
	limits      map[string]Limits
	class       map[string]Class
	submitted   int
	queued      map[Ticket]Request
	running     map[Ticket]Request
	preempting  map[Ticket]bool
	preempted   map[Ticket]bool // preempted at least once
	ended       map[Ticket]string
	latestStart map[Ticket]time.Time // when a queued ticket expires
}

const maxQueue = 5 * time.Second

func newHarness(t *rapid.T) *harness {
	opts := Options{MaxStreams: 40, Service: ServiceRules{QueueSize: 15, AccountQueueSize: 8, MaxQueue: maxQueue}}
	return &harness{t: t, c: New(withoutBacklog(opts)), now: start, limits: map[string]Limits{}, class: map[string]Class{},
		queued: map[Ticket]Request{}, running: map[Ticket]Request{}, preempting: map[Ticket]bool{}, preempted: map[Ticket]bool{}, ended: map[Ticket]string{}, latestStart: map[Ticket]time.Time{}}
}

func (h *harness) rules(account string) Rules {
	l, ok := h.limits[account]
	if !ok {
		l = Unlimited()
	}
	return Rules{Class: h.class[account], Weight: 1, Account: l, AtService: Unlimited()}
}

func (h *harness) markEnded(id Ticket, how string) {
	require.Empty(h.t, h.ended[id], "ticket %d ended twice", id)
	h.ended[id] = how
	delete(h.queued, id)
	delete(h.running, id)
	delete(h.preempting, id)
}

func (h *harness) recordRejected(rejected []Rejected) {
	for _, r := range rejected {
		require.Contains(h.t, h.queued, r.Ticket)
		h.markEnded(r.Ticket, "rejected")
	}
}

func (h *harness) recordAdmitted(id Ticket, r Request) {
	if !r.Deadline.IsZero() {
		require.True(h.t, h.now.Before(r.Deadline), "admitted after its deadline")
	}
	// Requests of an account are served in FIFO order, except for resumed
	// requests and expired ones, which Next skips.
	for other, q := range h.queued {
		late := !h.now.Before(h.latestStart[other])
		if q.Account == r.Account && other < id && !late {
			require.True(h.t, h.preempted[other] || h.preempted[id], "ticket %d overtook %d", id, other)
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
		h.recordAdmitted(id, h.queued[id])
	}
	h.recordRejected(h.c.Expire(h.now))
	h.checkWorkConserving()
}

// checkWorkConserving checks that no request waits while a slot is free, unless
// a limit of its account blocks it.
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
		blocked := limited && (limit.Concurrent >= 0 && running[r.Account] >= limit.Concurrent || limit.RequestsPerSecond >= 0)
		require.True(h.t, blocked, "a request of %s waits while %d of %d slots are used", r.Account, len(h.running), h.capacity.Slots)
	}
}

func (h *harness) submit() {
	account := fmt.Sprint(rapid.IntRange(0, 3).Draw(h.t, "account"))
	if _, ok := h.class[account]; !ok {
		h.class[account] = Class(rapid.IntRange(0, 1).Draw(h.t, "class"))
	}
	h.submitted++
	r := Request{ID: fmt.Sprint(h.submitted), Account: account, Service: "s", Rules: h.rules(account), Tokens: rapid.IntRange(0, 50).Draw(h.t, "tokens")}
	if rapid.Bool().Draw(h.t, "deadline") {
		r.Deadline = h.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(h.t, "wait")) * time.Millisecond)
	}
	d := h.c.Submit(h.now, r)
	h.recordRejected(d.Dropped)
	switch d.Verdict {
	case Admitted:
		h.recordAdmitted(d.Ticket, r)
	case Queued:
		h.queued[d.Ticket] = r
		h.latestStart[d.Ticket] = h.now.Add(maxQueue)
		if !r.Deadline.IsZero() && r.Deadline.Before(h.latestStart[d.Ticket]) {
			h.latestStart[d.Ticket] = r.Deadline
		}
	case RejectedImmediately:
		require.Zero(h.t, d.Ticket)
		require.NotEmpty(h.t, d.Reason)
	}
}

// pick draws a ticket from a set. The candidates are in a fixed order, so that
// rapid can reproduce a run.
func pick[V any](h *harness, set map[Ticket]V) (Ticket, bool) {
	var ids []Ticket
	for id := Ticket(1); int(id) <= h.submitted; id++ {
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
			h.markEnded(id, "done")
		}
	case 5:
		if id, ok := pick(h, h.queued); ok {
			h.c.Cancel(h.now, id)
			h.markEnded(id, "cancelled")
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
			h.preempting[id] = true
		}
		if id, ok := pick(h, h.preempting); ok {
			h.c.Preempted(h.now, id)
			h.queued[id], h.preempted[id] = h.running[id], true
			delete(h.running, id)
			delete(h.preempting, id)
		}
	case 9:
		account := fmt.Sprint(rapid.IntRange(0, 3).Draw(h.t, "account"))
		if _, ok := h.class[account]; !ok {
			return
		}
		h.limits[account] = Limits{RequestsPerSecond: float64(rapid.IntRange(-1, 20).Draw(h.t, "rate")), Concurrent: rapid.IntRange(-1, 4).Draw(h.t, "limit"), TokensPerMinute: -1}
		h.recordRejected(h.c.Update(h.now, account, "s", h.rules(account)))
	}
	h.next()
}

// Guards against lost tickets, tickets that end twice, exceeded concurrency
// limits, requests that overtake others of their account or are admitted after
// their deadline, and idle slots while admissible requests wait.
func TestControllerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		h.c.SetService(h.now, "s", h.c.opts.Service)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			h.step()
			require.Equal(t, len(h.queued)+len(h.running), h.c.OpenTickets())
		}
		for id := range h.queued {
			h.c.Cancel(h.now, id)
		}
		for id := range h.running {
			h.c.Done(h.now, id, Usage{Tokens: -1})
		}
		require.Zero(t, h.c.OpenTickets())
		paying, free := h.c.Demand("s")
		require.Equal(t, Demand{}, paying)
		require.Equal(t, Demand{}, free)
	})
}
