package routing

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The estimated load must include this entry's own requests since the report, but
// must not count those that the report already includes.
func TestLoadIsCorrectedByOwnRequests(t *testing.T) {
	r := New(Config{}, nil)
	c := fleet(1, benchTime)[0]
	at := func(ms int) time.Time { return benchTime.Add(time.Duration(ms) * time.Millisecond) }
	u := r.Publish(at(0), []Candidate{c}).Upstream(c.ID)
	r.Begin(at(0), u, nil)
	r.Begin(at(100), u, nil)
	c.Load = Load{Running: 7, At: at(500)} // includes both
	r.Begin(at(900), u, nil)
	u = r.Publish(at(1000), []Candidate{c}).Upstream(c.ID)
	require.Equal(t, 8.0, u.EstimatedLoad())
	require.Equal(t, 2, u.OwnReportedLoad(), "the third began after the report")
	r.Done(at(1100), u, Observation{})
	r.Done(at(1200), u, Observation{})
	require.Equal(t, 6.0, u.EstimatedLoad())
	c.Load = Load{Running: 5, At: at(1500)}
	u = r.Publish(at(2000), []Candidate{c}).Upstream(c.ID)
	require.Equal(t, 5.0, u.EstimatedLoad())
	c.Incarnation, c.Load = 2, Load{At: at(2500)}
	u = r.Publish(at(2600), []Candidate{c}).Upstream(c.ID)
	require.Equal(t, 0.0, u.EstimatedLoad(), "another incarnation starts without requests")
}

// For any pool size, a pick must return the only upstream that passes the filters,
// and an error if there is none.
func TestPickFindsOnlyEligibleUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "upstreams")
		all := fleet(n, benchTime)
		ready := rapid.IntRange(0, n-1).Draw(t, "the only ready one")
		none := rapid.Bool().Draw(t, "none ready")
		for i := range all {
			if i != ready || none {
				all[i].State = Draining
			}
		}
		r := New(Config{FailureDomain: "d0", Region: "r0"}, nil)
		r.Publish(benchTime, all)
		choice, err := r.Pick(benchTime, NewSource(rapid.Uint64().Draw(t, "seed")), &Request{Service: "chat", Model: "m"})
		if none {
			if err != ErrNoUpstream {
				t.Fatalf("got %v", err)
			}
		} else if err != nil || choice.Upstream.ID != all[ready].ID {
			t.Fatalf("got %v, %v", choice, err)
		}
	})
}

// ErrExhausted must be returned only if waiting can help.
func TestPickErrors(t *testing.T) {
	r := New(Config{}, nil)
	all := fleet(2, benchTime)
	r.Publish(benchTime, all)
	_, err := r.Pick(benchTime, NewSource(1), &Request{Service: "other"})
	require.ErrorIs(t, err, ErrUnknownService)
	_, err = r.Pick(benchTime, NewSource(1), &Request{Service: "chat", NeedsGroup: true})
	require.ErrorIs(t, err, ErrNoUpstream)
	_, err = r.Pick(benchTime.Add(time.Minute), NewSource(1), &Request{Service: "chat"})
	require.ErrorIs(t, err, ErrNoUpstream, "all reports are old")
	all[0].Load.Running, all[1].State = 64, Leaving
	r.Publish(benchTime, all)
	_, err = r.Pick(benchTime, NewSource(1), &Request{Service: "chat"})
	require.ErrorIs(t, err, ErrExhausted)
	all[0].Load.Running = 0
	r.Publish(benchTime, all)
	r.SetShare(all[0].ID, 1, 0)
	choice, explanation, err := r.Explain(benchTime, NewSource(1), &Request{Service: "chat"})
	require.NoError(t, err, "an ejected upstream is used if no other is left")
	require.Equal(t, all[0].ID, choice.Upstream.ID)
	require.True(t, explanation.EjectionIgnored)
	require.Equal(t, []Removal{{"ejected", []string{all[0].ID}}, {"state", []string{all[1].ID}}}, explanation.Removed)
	require.Len(t, explanation.Finalists[0].Scores, len(Scores()))
}

// A cached prefix must attract requests within StickyMargin of the mean load, but
// not beyond it.
func TestStickyChoiceKeepsBalance(t *testing.T) {
	for _, n := range []int{20, 400} {
		r := New(Config{FailureDomain: "d0", Region: "r0"}, nil)
		all := fleet(n, benchTime)
		for i := range all {
			all[i].Load.Running = 4
		}
		r.Publish(benchTime, all)
		prefix := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20}
		holder := r.Table().Service("chat")[n-5]
		r.Begin(benchTime, holder, prefix)
		req := &Request{Service: "chat", Prefix: prefix}
		choice, err := r.Pick(benchTime, NewSource(1), req)
		require.NoError(t, err)
		require.Equal(t, holder, choice.Upstream)
		require.Equal(t, len(prefix), choice.Blocks)
		for range 40 {
			r.Begin(benchTime, holder, nil)
		}
		choice, err = r.Pick(benchTime, NewSource(1), req)
		require.NoError(t, err)
		require.NotEqual(t, holder, choice.Upstream)
	}
}

// Pick must not allocate, whatever the number of upstreams.
func TestPickDoesNotAllocate(t *testing.T) {
	for _, n := range []int{65, 2100} {
		r := New(Config{FailureDomain: "d0", Region: "r0"}, nil)
		r.Publish(benchTime, fleet(n, benchTime))
		source, req := NewSource(1), &Request{Service: "chat", Prefix: []uint64{1, 2, 3}}
		allocations := testing.AllocsPerRun(200, func() { _, _ = r.Pick(benchTime, source, req) })
		require.Less(t, allocations, 1.0, n)
	}
}

// Publish must delete the counters, slots and cached blocks of upstreams that are
// no longer listed.
func TestPublishRemovesUnlistedUpstreams(t *testing.T) {
	r := New(Config{}, nil)
	for i := range 50 {
		all := fleet(3, benchTime)
		for j := range all {
			all[j].ID = fmt.Sprint(i, "-", j)
		}
		t1 := r.Publish(benchTime, all)
		r.Begin(benchTime, t1.Upstream(all[0].ID), []uint64{uint64(i)})
	}
	require.Len(t, r.counters, 3)
	require.Len(t, r.index.slots, 3)
	require.LessOrEqual(t, len(r.index.caches), 6)
	require.Equal(t, 1, r.index.Blocks())
}

// Under the race detector, guards against data races between picks, Publish,
// cache events and other requests.
func TestConcurrentUse(t *testing.T) {
	r := New(Config{FailureDomain: "d0", Region: "r0"}, nil)
	all := fleet(120, benchTime)
	r.Publish(benchTime, all)
	source := NewSource(1)
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			prefix := []uint64{1, 2, uint64(worker)}
			for i := range 200 {
				if worker == 0 {
					r.Publish(benchTime, all[:100+i%20])
					r.SetShare(all[i%100].ID, 1, i)
				}
				choice, err := r.Pick(benchTime, source, &Request{Service: "chat", Prefix: prefix})
				if err != nil {
					continue
				}
				r.Begin(benchTime, choice.Upstream, prefix)
				r.Index().Apply(benchTime, CacheEvents{Upstream: choice.Upstream.ID, Incarnation: 1, First: uint64(i)})
				r.Done(benchTime, choice.Upstream, Observation{FirstToken: time.Second})
			}
		})
	}
	wg.Wait()
	for _, u := range r.Table().Service("chat") {
		require.Zero(t, u.InFlight())
	}
}

// Picks must be spread over idle upstreams of equal cost. If the first ids were
// preferred, all entries would send their requests to the same upstreams.
func TestPicksAreSpreadOverIdleUpstreams(t *testing.T) {
	const picks = 6000
	for _, n := range []int{2, 5, 65} {
		all := fleet(n, benchTime)
		for i := range all {
			all[i].FailureDomain, all[i].Region, all[i].Load.Running = "d0", "r0", 0
		}
		r := New(Config{FailureDomain: "d0", Region: "r0"}, nil)
		r.Publish(benchTime, all)
		source := NewSource(1)
		counts := map[string]int{}
		for range picks {
			choice, err := r.Pick(benchTime, source, &Request{Service: "chat", Model: "m"})
			require.NoError(t, err)
			counts[choice.Upstream.ID]++
		}
		require.Len(t, counts, n)
		for id, count := range counts {
			require.InDelta(t, picks/n, count, picks/float64(n)/2, "%s of %d upstreams", id, n)
		}
	}
}
