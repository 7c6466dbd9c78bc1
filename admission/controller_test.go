package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func rules(class Class, weight float64) Rules {
	return Rules{Class: class, Weight: weight, Account: Unlimited(), AtService: Unlimited()}
}

func request(account string, r Rules) Request {
	return Request{Account: account, Service: "s", Rules: r, Tokens: 1}
}

// withoutBacklog disables the backlog, so that the number of admitted requests
// equals the number of slots. It uses a tiny negative fraction: zero takes the
// default, and a large negative one would reduce the share.
func withoutBacklog(o Options) Options {
	o.Backlog, o.BacklogInOrder = -1e-9, -1e-9
	return o
}

// singleEntryCapacity returns the capacity of a single entry whose share is all
// slots.
func singleEntryCapacity(slots int, priorities bool) Capacity {
	return Capacity{Slots: slots, Load: slots, Entries: 1, Share: float64(slots), Priorities: priorities}
}

// Guards against free requests that are dispatched before paying ones, and
// against idle slots while requests of any class wait.
func TestClassesShareSlots(t *testing.T) {
	for _, test := range []struct {
		name                        string
		slots, paying, free         int
		admittedPaying, admittedAll int
	}{
		{"paying alone", 4, 6, 0, 4, 4},
		{"free alone takes everything", 4, 0, 6, 0, 4},
		{"free takes what paying leaves", 4, 1, 6, 1, 4},
		{"no slots", 0, 2, 2, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(withoutBacklog(Options{}))
			for range test.free {
				require.Equal(t, Queued, c.Submit(start, request("f", rules(Free, 1))).Verdict)
			}
			for range test.paying {
				require.Equal(t, Queued, c.Submit(start, request("p", rules(Paying, 1))).Verdict)
			}
			c.SetCapacity("s", singleEntryCapacity(test.slots, false))
			admitted := c.Next(start, "s")
			require.Len(t, admitted, test.admittedAll)
			paying, _ := c.Demand("s")
			require.Equal(t, test.admittedPaying, paying.Running)
			for _, id := range admitted {
				c.Done(start, id, Usage{Tokens: -1})
			}
		})
	}
}

// Guards against rejections with a wrong reason or retry time.
func TestRefusals(t *testing.T) {
	limited := func(change func(*Limits)) Rules {
		r := rules(Paying, 1)
		change(&r.Account)
		return r
	}
	small := ServiceRules{QueueSize: 2, AccountQueueSize: 1, MaxQueue: time.Second}
	for _, test := range []struct {
		name    string
		opts    Options
		before  []Request
		request Request
		reason  Reason
		retry   time.Duration
	}{
		{name: "rate", before: []Request{request("a", limited(func(l *Limits) { l.RequestsPerSecond = 0.5 }))},
			request: request("a", limited(func(l *Limits) { l.RequestsPerSecond = 0.5 })), reason: RateLimited, retry: 2 * time.Second},
		{name: "rate zero", request: request("a", limited(func(l *Limits) { l.RequestsPerSecond = 0 })), reason: RateLimited, retry: maxRetryAfter},
		{name: "tokens", before: []Request{{Account: "a", Service: "s", Tokens: 60, Rules: limited(func(l *Limits) { l.TokensPerMinute = 60 })}},
			request: Request{Account: "a", Service: "s", Tokens: 3, Rules: limited(func(l *Limits) { l.TokensPerMinute = 60 })}, reason: RateLimited, retry: 3 * time.Second},
		{name: "account's queue", opts: Options{Service: small}, before: []Request{request("a", rules(Free, 1))},
			request: request("a", rules(Free, 1)), reason: QueueFull, retry: minRetryAfter},
		{name: "class's queue", opts: Options{Service: small}, before: []Request{request("a", rules(Free, 1)), request("b", rules(Free, 1))},
			request: request("c", rules(Free, 1)), reason: QueueFull, retry: minRetryAfter},
		{name: "streams", opts: Options{MaxStreams: 1}, before: []Request{request("a", rules(Paying, 1))},
			request: request("b", rules(Paying, 1)), reason: TooManyStreams, retry: minRetryAfter},
		{name: "deadline that cannot be met", request: Request{Account: "a", Service: "s", Rules: rules(Paying, 1),
			Deadline: start.Add(time.Second), ExpectedRunTime: 2 * time.Second}, reason: DeadlineExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(test.opts)
			for _, r := range test.before {
				require.NotEqual(t, RejectedImmediately, c.Submit(start, r).Verdict)
			}
			d := c.Submit(start, test.request)
			require.Equal(t, RejectedImmediately, d.Verdict)
			require.Equal(t, test.reason, d.Reason)
			require.Equal(t, test.retry, d.RetryAfter)
		})
	}
}

// Guards against paying requests that are rejected because queued free requests
// use up the stream limit of the entry.
func TestPayingTakesStreamOfQueuedFree(t *testing.T) {
	c := New(Options{MaxStreams: 2})
	c.Submit(start, request("f", rules(Free, 1)))
	newest := c.Submit(start, request("f", rules(Free, 1)))
	d := c.Submit(start, request("p", rules(Paying, 1)))
	require.Equal(t, Queued, d.Verdict)
	require.Len(t, d.Dropped, 1)
	require.Equal(t, newest.Ticket, d.Dropped[0].Ticket)
}

// Guards against a full queue that rejects new requests while it holds requests
// that can no longer meet their deadline.
func TestFullQueueDropsUnusableDeadlineFirst(t *testing.T) {
	c := New(Options{Service: ServiceRules{QueueSize: 2, AccountQueueSize: 2}})
	for _, deadline := range []time.Duration{3 * time.Second, 2 * time.Second} {
		r := request("a", rules(Paying, 1))
		r.ID, r.Deadline = deadline.String(), start.Add(deadline)
		c.Submit(start, r)
	}
	d := c.Submit(start.Add(2500*time.Millisecond), request("a", rules(Paying, 1)))
	require.Equal(t, Queued, d.Verdict)
	require.Len(t, d.Dropped, 1)
	require.Equal(t, "2s", d.Dropped[0].ID)
	require.Equal(t, QueueTimeout, d.Dropped[0].Reason)
}

// Guards against preempting more requests than needed, requests that are about
// to finish, or the same request too often.
func TestPreempt(t *testing.T) {
	c := New(withoutBacklog(Options{MaxPreemptions: 1}))
	c.SetCapacity("s", singleEntryCapacity(3, false))
	free := request("f", rules(Free, 1))
	free.ExpectedRunTime = 10 * time.Second
	var tickets []Ticket
	for range 3 {
		tickets = append(tickets, c.Submit(start, free).Ticket)
	}
	now := start.Add(time.Second)
	require.Empty(t, c.Preempt(now), "no paying request waits")
	paying := c.Submit(now, request("p", rules(Paying, 1)))
	require.Equal(t, Queued, paying.Verdict)
	require.Equal(t, tickets[2:], c.Preempt(now), "the latest dispatched, and only one")
	require.Empty(t, c.Preempt(now), "a preemption is already in progress")
	c.Preempted(now, tickets[2])
	require.Equal(t, []Ticket{paying.Ticket}, c.Next(now, "s"))
	c.Done(now, paying.Ticket, Usage{Tokens: -1})
	require.Equal(t, tickets[2:], c.Next(now, "s"), "the preempted request resumes")

	c.Submit(now, request("p", rules(Paying, 1)))
	require.Equal(t, tickets[1:2], c.Preempt(now), "a request is preempted at most MaxPreemptions times")
	c.Submit(now, request("p", rules(Paying, 1)))
	require.Empty(t, c.Preempt(start.Add(9800*time.Millisecond)), "the last candidate is about to finish")
}

// Guards against free requests that cannot be preempted after they have
// exceeded their expected run time.
func TestPreemptOverdue(t *testing.T) {
	c := New(withoutBacklog(Options{}))
	c.SetCapacity("s", singleEntryCapacity(1, false))
	free := request("f", rules(Free, 1))
	free.ExpectedRunTime = 2 * time.Second
	running := c.Submit(start, free).Ticket
	now := start.Add(5 * time.Second)
	c.Submit(now, request("p", rules(Paying, 1)))
	require.Equal(t, []Ticket{running}, c.Preempt(now))
}

// Guards against rounding the backlog up to one request per entry. With many
// entries and few slots each, that doubles the load ahead of paying requests.
func TestBacklogOfSmallShares(t *testing.T) {
	for _, test := range []struct{ share, admitted int }{{1, 1}, {2, 2}, {40, 42}} {
		c := New(Options{})
		c.SetCapacity("s", Capacity{Slots: 7 * test.share, Load: 7 * test.share, Entries: 7, Share: float64(test.share)})
		for range 2*test.share + 2 {
			c.Submit(start, request("f", rules(Free, 1)))
		}
		_, free := c.Demand("s")
		require.Equal(t, test.admitted, free.Running, "share %d", test.share)
	}
}

// Guards against settings changes that do not apply to queued requests.
func TestSettingsReachQueuedRequests(t *testing.T) {
	setup := func() (*Controller, []Ticket) {
		c := New(withoutBacklog(Options{}))
		var tickets []Ticket
		for range 4 {
			tickets = append(tickets, c.Submit(start, request("a", rules(Free, 1))).Ticket)
		}
		return c, tickets
	}
	ids := func(rejected []Rejected) (out []Ticket) {
		for _, r := range rejected {
			out = append(out, r.Ticket)
		}
		return out
	}
	limited := func(l Limits) Rules { return Rules{Class: Free, Weight: 1, Account: l, AtService: Unlimited()} }

	t.Run("class", func(t *testing.T) {
		c, tickets := setup()
		c.Submit(start, request("b", rules(Paying, 1)))
		c.Update(start, "a", "s", rules(Paying, 1))
		c.SetCapacity("s", singleEntryCapacity(2, false))
		require.Contains(t, c.Next(start, "s"), tickets[0])
	})
	t.Run("concurrency", func(t *testing.T) {
		c, tickets := setup()
		c.Update(start, "a", "s", limited(Limits{RequestsPerSecond: -1, Concurrent: 1, TokensPerMinute: -1}))
		c.SetCapacity("s", singleEntryCapacity(4, false))
		require.Equal(t, tickets[:1], c.Next(start, "s"))
		c.Done(start, tickets[0], Usage{})
		require.Equal(t, tickets[1:2], c.Next(start, "s"))
	})
	t.Run("rate", func(t *testing.T) {
		c, tickets := setup()
		c.Update(start, "a", "s", limited(Limits{RequestsPerSecond: 2, Concurrent: -1, TokensPerMinute: -1}))
		c.SetCapacity("s", singleEntryCapacity(4, false))
		require.Equal(t, tickets[:2], c.Next(start, "s"))
		require.Equal(t, start.Add(500*time.Millisecond), c.NextDeadline())
		require.Equal(t, tickets[2:3], c.Next(c.NextDeadline(), "s"))
	})
	t.Run("rate zero", func(t *testing.T) {
		c, tickets := setup()
		require.Equal(t, tickets, ids(c.Update(start, "a", "s", limited(Limits{Concurrent: -1, TokensPerMinute: -1}))))
	})
	t.Run("queue size", func(t *testing.T) {
		c, tickets := setup()
		require.Equal(t, []Ticket{tickets[3], tickets[2]}, ids(c.SetService(start, "s", ServiceRules{QueueSize: 2, AccountQueueSize: 9})))
	})
	t.Run("time in queue", func(t *testing.T) {
		c, tickets := setup()
		c.SetService(start, "s", ServiceRules{QueueSize: 9, AccountQueueSize: 9, MaxQueue: time.Second})
		require.Equal(t, tickets, ids(c.Expire(start.Add(time.Second))))
	})
	t.Run("account removed", func(t *testing.T) {
		c, tickets := setup()
		require.Equal(t, tickets, ids(c.RemoveAccount(start, "a")))
		require.Zero(t, c.OpenTickets())
	})
}

// Guards against service of backlogged paying accounts that deviates from their
// weights by more than the bound of start-time fair queueing.
func TestWeightedSharesInFluidLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(withoutBacklog(Options{Service: ServiceRules{QueueSize: 1 << 20, AccountQueueSize: 1 << 20}}))
		weights := rapid.SliceOfN(rapid.IntRange(1, 8), 2, 5).Draw(t, "weights")
		cost := rapid.SliceOfN(rapid.IntRange(1, 20), len(weights), len(weights)).Draw(t, "cost")
		total, served := 0, make([]float64, len(weights))
		for i, w := range weights {
			total += w
			r := request(fmt.Sprint(i), rules(Paying, float64(w)))
			r.Tokens = cost[i]
			for range 600 {
				c.Submit(start, r)
			}
		}
		c.SetCapacity("s", singleEntryCapacity(1, false))
		sum := 0.0
		for range 500 {
			next := c.Next(start, "s")
			require.Len(t, next, 1)
			r, _ := c.Request(next[0])
			var i int
			fmt.Sscan(r.Account, &i)
			served[i] += float64(r.Tokens)
			sum += float64(r.Tokens)
			c.Done(start, next[0], Usage{Tokens: -1})
		}
		// Start-time fair queueing keeps the normalized service of any two
		// backlogged accounts within one request of each of them.
		for i, w := range weights {
			want := sum * float64(w) / float64(total)
			tolerance := float64(cost[i])
			for j := range weights {
				tolerance += float64(cost[j]) * float64(w) / float64(weights[j])
			}
			require.InDelta(t, want, served[i], tolerance)
		}
	})
}

// Guards against an entry that stays above its share of slots because it
// replaces each request that ends.
func TestWorkBeyondShareIsNotReplaced(t *testing.T) {
	c := New(withoutBacklog(Options{}))
	c.SetCapacity("s", Capacity{Slots: 10, Entries: 2, Share: 2})
	var running []Ticket
	for range 6 {
		d := c.Submit(start, request("a", rules(Paying, 1)))
		if d.Verdict == Admitted {
			running = append(running, d.Ticket)
		}
	}
	require.Len(t, running, 5, "idle slots are used beyond the share")
	c.SetCapacity("s", Capacity{Slots: 10, Load: 10, OwnLoad: 5, Entries: 2, Share: 2})
	c.Done(start, running[0], Usage{Tokens: -1})
	require.Empty(t, c.Next(start, "s"))
}
