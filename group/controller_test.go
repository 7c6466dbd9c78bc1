package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/membership"
)

// bench is a controller with engines that obey every order at once.
type bench struct {
	now      time.Time
	state    *State
	ctrl     *Controller
	observed []Observation
	silent   map[string]bool
	deaf     map[string]bool
	commands []Command
	settings Settings
}

func newBench(instances int, demands ...Demand) *bench {
	b := &bench{now: time.Unix(1_700_000_000, 0), state: NewState(), silent: map[string]bool{}, deaf: map[string]bool{}, settings: Settings{Demands: demands}}
	b.ctrl = NewController(Config{FailureDomain: "a", NoPreload: true}, 1, b.now)
	for i := range instances {
		b.observed = append(b.observed, Observation{
			ID: fmt.Sprintf("i%d", i), Incarnation: 1, FabricDomain: "f", Accelerators: 2, Fencing: true, State: membership.Ready, Idle: true,
		})
	}
	return b
}

func demand(name string, groups int) Demand {
	return Demand{Service: name, Model: membership.Model{Name: name}, Groups: groups, GroupSize: 2, DowntimeWeight: 5, StrandedWeight: 1}
}

func (b *bench) run(d time.Duration) {
	b.commands = nil
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(500 * time.Millisecond)
		for i := range b.observed {
			if !b.silent[b.observed[i].ID] {
				b.observed[i].ReportedAt = b.now
			}
		}
		out := b.ctrl.Decide(b.now, b.state, b.observed, b.settings)
		for _, o := range out.Orders {
			for i := range b.observed {
				switch e := &b.observed[i]; {
				case e.ID != o.Instance || b.deaf[e.ID]:
				case o.Kind == OrderForm:
					e.InForce = membership.GroupRef{Group: o.Group, Epoch: o.Epoch, Rank: o.Rank}
				case o.Kind == OrderRelease:
					e.InForce = membership.GroupRef{}
				}
			}
		}
		for _, c := range out.Commands {
			if b.state.Apply(c).Code == Applied {
				b.commands = append(b.commands, c)
			}
		}
	}
}

func (b *bench) kinds() []Kind {
	var list []Kind
	for _, c := range b.commands {
		list = append(list, c.Kind)
	}
	return list
}

func (b *bench) serving(service string) int {
	n := 0
	for _, g := range b.state.Groups {
		if g.Service == service && g.Phase == Serving {
			n++
		}
	}
	return n
}

// Guards against a leaving member that is replaced before its group drained.
func TestLeavingMemberDrainsFirst(t *testing.T) {
	b := newBench(5, demand("m", 2))
	b.run(20 * time.Second)
	require.Equal(t, 2, b.serving("m"))
	b.observed[0].State, b.observed[0].Idle = membership.Draining, false
	b.run(10 * time.Second)
	require.Equal(t, []Kind{Drain}, b.kinds(), "work is in flight")
	require.Empty(t, b.state.Check())
	b.observed[0].Idle = true
	b.run(20 * time.Second)
	require.Equal(t, []Kind{Replace, Confirm}, b.kinds()[:2])
	require.Equal(t, 2, b.serving("m"))
}

// Guards against a dissolving storm when a fabric domain goes dark and returns.
func TestDarkFabricIsLeftAlone(t *testing.T) {
	b := newBench(7, demand("m", 3))
	b.run(20 * time.Second)
	for _, o := range b.observed {
		b.silent[o.ID] = true
	}
	b.run(10 * time.Minute)
	require.Empty(t, b.commands)
	clear(b.silent)
	b.run(20 * time.Second)
	require.Empty(t, b.commands)
	require.Equal(t, 3, b.serving("m"))
}

// Guards against a healthy group that is broken up for nothing, and against
// demand that moves without its group draining.
func TestCapacityMovesForStatedGain(t *testing.T) {
	b := newBench(4, demand("m", 2), demand("n", 0))
	b.run(20 * time.Second)
	b.run(time.Minute)
	require.Empty(t, b.commands)
	b.settings.Demands[0].Groups, b.settings.Demands[1].Groups = 1, 1
	b.run(time.Minute)
	require.Equal(t, Drain, b.commands[0].Kind)
	require.Positive(t, b.commands[0].Gain)
	require.Equal(t, 1, b.serving("m"))
	require.Equal(t, 1, b.serving("n"))
}

// Guards against a slow member that stays although a spare is free.
func TestSlowMemberIsReplacedForStatedGain(t *testing.T) {
	b := newBench(3, demand("m", 1))
	b.run(20 * time.Second)
	b.observed[0].Slowdown = 0.5
	b.run(time.Minute)
	require.Equal(t, []Kind{Drain, Replace, Confirm}, b.kinds()[:3])
	require.Positive(t, b.commands[0].Gain)
	require.Equal(t, 1, b.serving("m"))
}

// Guards against a replacement that keeps a member which is not heard at the
// moment: it panicked when the view had forgotten that member.
func TestSilentMemberIsNoSurvivor(t *testing.T) {
	cold := demand("m", 1)
	cold.WeightBytes = 100e9 // waiting for the silent member is cheaper than loading
	b := newBench(3, cold)
	b.settings.StoreRate = 1e9
	b.deaf["i0"] = true
	b.run(459 * time.Second) // the limit for i0 is 460 s after its order
	b.observed = append(b.observed[:1:1], b.observed[2])
	b.run(4 * time.Second)
	for _, c := range b.commands {
		for _, m := range c.Members {
			require.NotEqual(t, "i1", m.ID, "%s keeps the silent member", c.Kind)
		}
	}
	require.Empty(t, b.state.Check())
}

// Guards against a second loss right after a repair that leaves two broken
// groups although one can be completed from the other.
func TestTwoBrokenGroupsMakeOneWhole(t *testing.T) {
	b := newBench(6, demand("m", 3))
	b.run(20 * time.Second)
	for _, id := range []string{"i0", "i2"} {
		b.silent[id] = true
	}
	b.run(5 * time.Minute)
	require.Equal(t, 2, b.serving("m"))
	require.NotEmpty(t, b.ctrl.Accounts())
	require.Empty(t, b.state.Check())
}

// Guards against loads that all start at once and finish late: the store's
// rate goes to the change with the most benefit first.
func TestWeightStoreQueueIsOrderedByBenefit(t *testing.T) {
	low, high := demand("low", 1), demand("high", 1)
	low.WeightBytes, high.WeightBytes, high.DowntimeWeight = 10e9, 10e9, 50
	b := newBench(4, low, high)
	b.settings.StoreRate = 1e9
	b.run(5 * time.Second)
	require.Equal(t, "high", b.commands[0].Service)
	b.run(25 * time.Second)
	require.Equal(t, "low", b.commands[0].Service)
}

// Guards against dispatch to a group with a member of another incarnation,
// rank, epoch or state, or one that is unknown or drains.
func TestServableNeedsEveryMember(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	good := membership.Heartbeat{ID: "b", Incarnation: 2, Sequence: 2, State: membership.Ready, InForce: membership.GroupRef{Group: "g", Epoch: 4, Rank: 1}}
	cases := map[string]struct {
		change func(*membership.Heartbeat, *Group)
		want   bool
	}{
		"complete":          {func(*membership.Heartbeat, *Group) {}, true},
		"other incarnation": {func(h *membership.Heartbeat, _ *Group) { h.Incarnation = 3 }, false},
		"other epoch":       {func(h *membership.Heartbeat, _ *Group) { h.InForce.Epoch = 3 }, false},
		"other rank":        {func(h *membership.Heartbeat, _ *Group) { h.InForce.Rank = 0 }, false},
		"other group":       {func(h *membership.Heartbeat, _ *Group) { h.InForce.Group = "h" }, false},
		"draining member":   {func(h *membership.Heartbeat, _ *Group) { h.State = membership.Draining }, false},
		"draining group":    {func(_ *membership.Heartbeat, g *Group) { g.Phase = Draining }, false},
		"unknown member":    {func(_ *membership.Heartbeat, g *Group) { g.Members[0].ID = "x" }, false},
		"no members":        {func(_ *membership.Heartbeat, g *Group) { g.Members = nil }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h, g := good, &Group{ID: "g", Epoch: 4, Phase: Loading, Members: []Member{{"a", 1}, {"b", 2}}}
			c.change(&h, g)
			r := membership.New(membership.Config{ID: "d"}, now)
			r.Announce(now, membership.Announcement{ID: "a", Incarnation: 1, State: membership.Ready})
			r.Heartbeat(now, membership.Heartbeat{ID: "a", Incarnation: 1, Sequence: 1, State: membership.Ready, InForce: membership.GroupRef{Group: "g", Epoch: 4}})
			r.Announce(now, membership.Announcement{ID: "b", Incarnation: h.Incarnation, State: membership.Ready})
			r.Heartbeat(now, h)
			s, ok := g.Servable(r.View(), now.Add(2999*time.Millisecond))
			require.Equal(t, c.want, ok)
			if ok {
				require.Equal(t, "a", s.Leader.ID)
			}
			_, ok = g.Servable(r.View(), now.Add(3*time.Second))
			require.False(t, ok)
		})
	}
}

// BenchmarkDecide decides for a failure domain of the planned size at rest.
func BenchmarkDecide(b *testing.B) {
	d := demand("m", 48)
	d.GroupSize = 8
	w := newBench(420, d)
	for i := range w.observed {
		w.observed[i].FabricDomain = fmt.Sprintf("f%02d", i/35)
	}
	w.run(20 * time.Second)
	require.Equal(b, 48, w.serving("m"))
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		w.ctrl.Decide(w.now, w.state, w.observed, w.settings)
	}
}

// Guards against a member's absence that the settings no longer tolerate being
// waited out because members usually return.
func TestPatienceEndsTheWait(t *testing.T) {
	absentFor := func(patience time.Duration) []Kind {
		d := demand("m", 1)
		d.Patience = patience
		b := newBench(3, d)
		// Members have always returned after 20 s, so that waiting is cheapest.
		b.ctrl.history = nil
		for range 50 {
			b.ctrl.history = append(b.ctrl.history, 20*time.Second)
		}
		b.run(30 * time.Second)
		require.Equal(t, 1, b.serving("m"))
		b.ctrl.cfg.StartTime = time.Minute
		for _, g := range b.state.Groups {
			b.silent[g.Members[1].ID] = true
		}
		b.run(15 * time.Second)
		return b.kinds()
	}
	require.Empty(t, absentFor(0))
	require.Contains(t, absentFor(5*time.Second), Replace)
}
