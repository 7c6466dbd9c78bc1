package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// Guards against a cut that is seen where there is none, or that does not end with a
// direct connection.
func TestCut(t *testing.T) {
	const address = "10.0.0.1:80"
	for _, c := range []struct {
		name   string
		events func(r *Tracker)
		cut    bool
	}{
		{"nothing happened", func(*Tracker) {}, false},
		{"connected", func(r *Tracker) { r.Connected(start, address) }, false},
		{"connected through another instance", func(r *Tracker) { r.ConnectedThrough(start, start, address, "a") }, true},
		{"cut and in reach again", func(r *Tracker) {
			r.ConnectedThrough(start, start, address, "a")
			r.Connected(start, address)
		}, false},
		{"cut, and then nobody reaches it", func(r *Tracker) {
			r.ConnectedThrough(start, start, address, "a")
			r.Gone(start, address)
		}, false},
		{"connected directly while another instance connected", func(r *Tracker) {
			r.Connected(start, address)
			r.ConnectedThrough(start, start.Add(-time.Millisecond), address, "a")
		}, false},
		{"another upstream is cut", func(r *Tracker) { r.ConnectedThrough(start, start, "10.0.0.2:80", "a") }, false},
		{"forgotten", func(r *Tracker) {
			r.ConnectedThrough(start, start, address, "a")
			r.Connected(start.Add(2*idleTime), "10.0.0.2:80")
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			c.events(r)
			require.Equal(t, c.cut, r.Cut(start, address))
		})
	}
}

// Guards against connections through others that stay in use after the end of a cut,
// whatever happened in between.
func TestThrough(t *testing.T) {
	r := New()
	require.False(t, r.Connected(start, "a"))
	r.ConnectedThrough(start, start, "a", "helper")
	r.Gone(start, "a")
	require.False(t, r.Cut(start, "a"))
	require.Equal(t, []string{"a"}, r.Through())
	require.True(t, r.Connected(start, "a"))
	require.Empty(t, r.Through())
	require.False(t, r.ConnectedThrough(start, start.Add(-time.Second), "a", "helper"), "connected directly meanwhile")
	require.True(t, r.Connected(start, "a"))
	r.ConnectedThrough(start, start, "a", "helper")
	r.Forget("a")
	require.Empty(t, r.Through())
	require.Zero(t, r.CutUpstreams())
}

// Guards against questions about an upstream that nobody reached a moment ago, with each
// request, and against asking never again.
func TestMayAsk(t *testing.T) {
	r := New()
	require.True(t, r.MayAsk(start, "a"))
	r.Gone(start, "a")
	require.False(t, r.MayAsk(start.Add(goneTime-1), "a"))
	require.True(t, r.MayAsk(start.Add(goneTime), "a"))
	r.Gone(start, "a")
	r.Connected(start, "a")
	require.True(t, r.MayAsk(start, "a"))
}

// Guards against a way that is tried with each request while it is cut, and against one
// that is not tried again within a second of the end of the cut.
func TestClaimProbe(t *testing.T) {
	r := New()
	r.ConnectedThrough(start, start, "a", "helper")
	require.False(t, r.ClaimProbe(start, "a"), "the direct attempt has just failed")
	require.True(t, r.ClaimProbe(start.Add(ProbeInterval), "a"))
	require.False(t, r.ClaimProbe(start.Add(ProbeInterval+1), "a"))
	require.LessOrEqual(t, ProbeInterval, time.Second)
}

// Guards against help that is offered by an instance which is cut off itself.
func TestIsolated(t *testing.T) {
	r := New()
	require.False(t, r.Isolated(start), "an instance without requests knows of no cut")
	r.Connected(start, "a")
	r.ConnectedThrough(start, start, "b", "helper")
	require.False(t, r.Isolated(start.Add(isolationTime)))
	require.True(t, r.Isolated(start.Add(isolationTime+1)))
	r.Connected(start.Add(isolationTime+1), "a")
	require.False(t, r.Isolated(start.Add(isolationTime+1)))
}

// Guards against questions to instances that cannot help, against one that gets all the
// work, and against traffic between failure domains where it is not needed.
func TestOrder(t *testing.T) {
	candidates := []Helper{{"near-1", "x"}, {"near-2", "x"}, {"far-1", "y"}, {"far-2", "y"}}
	first := func(r *Tracker, now time.Time) map[string]int {
		counts := map[string]int{}
		random := rand.New(rand.NewPCG(1, 2))
		for range 400 {
			counts[r.Order(now, random, "x", candidates)[0]]++
		}
		return counts
	}
	r := New()
	counts := first(r, start)
	require.Len(t, counts, 2)
	require.InDelta(t, 200, counts["near-1"], 60)
	r.ConnectedThrough(start, start, "a", "near-1")
	counts = first(r, start)
	require.Greater(t, counts["near-1"], 200, "it has helped")
	require.Greater(t, counts["near-2"], 50, "others are tried as well")
	r.Blame(start, "near-1")
	r.Blame(start, "near-2")
	counts = first(r, start)
	require.Zero(t, counts["near-1"]+counts["near-2"])
	require.Len(t, first(r, start.Add(minBlame)), 2, "they are asked again")
	r.Blame(start, "near-1")
	require.NotContains(t, first(r, start.Add(minBlame)), "near-1", "failures in a row count more")
}

// Guards against a count of cut upstreams that differs from their states, and against a
// cut upstream whose latest event was a direct connection, whatever the order of events.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		r, now := New(), start
		cut := map[string]bool{}
		used := map[string]time.Time{}
		for range 300 {
			now = now.Add(time.Duration(random.IntN(5000)) * time.Millisecond)
			address, helper := fmt.Sprint("u", random.IntN(6)), fmt.Sprint("h", random.IntN(4))
			switch random.IntN(5) {
			case 0:
				r.Connected(now, address)
				cut[address] = false
			case 1:
				r.ConnectedThrough(now, now, address, helper)
				cut[address] = true
			case 2:
				r.Gone(now, address)
				cut[address] = false
			case 3:
				r.Blame(now, helper)
			case 4:
				r.ClaimProbe(now, address)
			}
			used[address] = now
			count := 0
			for a, is := range cut {
				if now.Sub(used[a]) >= idleTime {
					// It may be forgotten, and then counts as in reach.
					is = r.Cut(now, a)
					cut[a], used[a] = is, now
				}
				require.Equal(t, is, r.Cut(now, a), "seed %d", seed)
				used[a] = now
				if is {
					count++
				}
			}
			require.Equal(t, count, r.CutUpstreams(), "seed %d", seed)
		}
	}
}
