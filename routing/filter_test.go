package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// filterCase modifies an upstream and a request that the filter admits and states
// whether the filter still admits them.
type filterCase struct {
	name   string
	change func(c *Candidate, r *Request)
	admit  bool
}

func runFilter(t *testing.T, f Filter, cases []filterCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := benchTime
			candidate := Candidate{
				ID: "u1", Incarnation: 1, Services: []string{"chat"}, State: Ready,
				Models:        []Model{{Name: "m", Version: "1"}, {Name: "m", Version: "1", Adapter: "a"}},
				MaxConcurrent: 4, Load: Load{At: now},
				Group: Group{ID: "g", Epoch: 1, Complete: true, ConfirmedAt: now},
			}
			request := Request{Service: "chat"}
			if c.change != nil {
				c.change(&candidate, &request)
			}
			r := New(Config{}, nil)
			u := r.Publish(now, []Candidate{candidate}).Upstream("u1")
			q := &Query{Request: &request, cfg: &r.cfg, now: now.UnixNano(), loadRatio: u.computeLoadRatio()}
			require.Equal(t, c.admit, f.Admit(q, u))
		})
	}
}

func TestServiceFilter(t *testing.T) {
	runFilter(t, serviceFilter{}, []filterCase{
		{"served", nil, true},
		{"not served", func(_ *Candidate, r *Request) { r.Service = "other" }, false},
		{"pinned here", func(_ *Candidate, r *Request) { r.Pinned = "u1" }, true},
		{"pinned elsewhere", func(_ *Candidate, r *Request) { r.Pinned = "u2" }, false},
	})
}

func TestStateFilter(t *testing.T) {
	runFilter(t, stateFilter{}, []filterCase{
		{"ready", nil, true},
		{"draining", func(c *Candidate, _ *Request) { c.State = Draining }, false},
		{"leaving", func(c *Candidate, _ *Request) { c.State = Leaving }, false},
		{"unknown state", func(c *Candidate, _ *Request) { c.State = "" }, false},
	})
}

func TestModelFilter(t *testing.T) {
	runFilter(t, modelFilter{}, []filterCase{
		{"any", nil, true},
		{"model", func(_ *Candidate, r *Request) { r.Model = "m" }, true},
		{"other model", func(_ *Candidate, r *Request) { r.Model = "n" }, false},
		{"other version", func(_ *Candidate, r *Request) { r.Model, r.Version = "m", "2" }, false},
		{"adapter loaded", func(_ *Candidate, r *Request) { r.Adapter, r.AdapterRequired = "a", true }, true},
		{"adapter missing", func(_ *Candidate, r *Request) { r.Adapter, r.AdapterRequired = "b", true }, false},
		{"adapter preferred", func(_ *Candidate, r *Request) { r.Adapter = "b" }, true},
		{"adapter of another model", func(c *Candidate, r *Request) {
			c.Models[1].Name = "n"
			r.Model, r.Adapter, r.AdapterRequired = "m", "a", true
		}, false},
	})
}

func TestRoleFilter(t *testing.T) {
	set := func(upstream, request Role) func(*Candidate, *Request) {
		return func(c *Candidate, r *Request) { c.Role, r.Role = upstream, request }
	}
	runFilter(t, roleFilter{}, []filterCase{
		{"no role requested", set(RolePrefill, ""), true},
		{"same role", set(RoleDecode, RoleDecode), true},
		{"engine supports both", set(RoleBoth, RolePrefill), true},
		{"engine role unset", set("", RoleDecode), true},
		{"other role", set(RolePrefill, RoleDecode), false},
		{"both requested, engine supports one", set(RolePrefill, RoleBoth), false},
	})
}

func TestFreshnessFilter(t *testing.T) {
	age := func(d time.Duration) func(*Candidate, *Request) {
		return func(c *Candidate, _ *Request) { c.Load.At = benchTime.Add(-d) }
	}
	runFilter(t, freshnessFilter{}, []filterCase{
		{"just below the bound", age(3*time.Second - 1), true},
		{"at the bound", age(3 * time.Second), false},
		{"never reported", func(c *Candidate, _ *Request) { c.Load.At = time.Time{} }, false},
	})
}

func TestGroupFilter(t *testing.T) {
	group := func(change func(g *Group)) func(*Candidate, *Request) {
		return func(c *Candidate, r *Request) {
			r.NeedsGroup = true
			change(&c.Group)
		}
	}
	runFilter(t, groupFilter{}, []filterCase{
		{"not needed", func(c *Candidate, _ *Request) { c.Group = Group{} }, true},
		{"complete", group(func(*Group) {}), true},
		{"incomplete", group(func(g *Group) { g.Complete = false }), false},
		{"other rank", group(func(g *Group) { g.Rank = 1 }), false},
		{"no group", group(func(g *Group) { g.ID = "" }), false},
		{"old confirmation", group(func(g *Group) { g.ConfirmedAt = benchTime.Add(-3 * time.Second) }), false},
		{"never confirmed", group(func(g *Group) { g.ConfirmedAt = time.Time{} }), false},
	})
}

func TestExclusionFilter(t *testing.T) {
	runFilter(t, exclusionFilter{}, []filterCase{
		{"not tried", func(_ *Candidate, r *Request) { r.Excluded = []string{"u2"} }, true},
		{"tried", func(_ *Candidate, r *Request) { r.Excluded = []string{"u2", "u1"} }, false},
	})
}

func TestIsolationFilter(t *testing.T) {
	only := func(id string) func(*Candidate, *Request) {
		return func(_ *Candidate, r *Request) { r.Isolate = func(u string) bool { return u == id } }
	}
	runFilter(t, isolationFilter{}, []filterCase{
		{"no suspect", nil, true}, {"allowed", only("u1"), true}, {"not allowed", only("u2"), false},
	})
}

func TestCapacityFilter(t *testing.T) {
	load := func(running, queued int) func(*Candidate, *Request) {
		return func(c *Candidate, _ *Request) { c.Load.Running, c.Load.Queued = running, queued }
	}
	runFilter(t, capacityFilter{}, []filterCase{
		{"below twice the batch", load(4, 3), true}, {"at twice the batch", load(4, 4), false},
	})
	r := New(Config{}, nil)
	u := r.Publish(benchTime, fleet(1, benchTime)).Service("chat")[0]
	r.Begin(benchTime, u, nil)
	r.Done(benchTime, u, Observation{ExhaustedUntil: benchTime.Add(time.Second)})
	q := &Query{Request: &Request{}, cfg: &r.cfg, now: benchTime.UnixNano()}
	require.False(t, capacityFilter{}.Admit(q, u), "upstream announced that it is exhausted")
	q.now = benchTime.Add(time.Second).UnixNano()
	require.True(t, capacityFilter{}.Admit(q, u))
}

func TestEjectionFilter(t *testing.T) {
	r := New(Config{}, nil)
	u := r.Publish(benchTime, fleet(1, benchTime)).Service("chat")[0]
	for _, c := range []struct{ share, low, high int }{{1000, 10000, 10000}, {0, 0, 0}, {250, 2300, 2700}} {
		r.SetShare(u.ID, u.Incarnation, c.share)
		admitted := 0
		source := NewSource(7)
		for range 10000 {
			if (ejectionFilter{}).Admit(&Query{randomBits: source.Uint64()}, u) {
				admitted++
			}
		}
		require.GreaterOrEqual(t, admitted, c.low, c.share)
		require.LessOrEqual(t, admitted, c.high, c.share)
	}
	r.SetShare(u.ID, u.Incarnation+1, 1000)
	require.Equal(t, 250, u.Share(), "a share of another incarnation is ignored")
}

func TestLimitFilter(t *testing.T) {
	limited := func(id string, incarnation uint64) func(*Candidate, *Request) {
		return func(_ *Candidate, r *Request) {
			r.Limited = func(upstream string, i uint64) bool { return upstream == id && i == incarnation }
		}
	}
	runFilter(t, limitFilter{}, []filterCase{
		{"no limit named", nil, true},
		{"at its limit", limited("u1", 1), false},
		{"another upstream at its limit", limited("u2", 1), true},
		{"an earlier process at its limit", limited("u1", 0), true},
	})
}
