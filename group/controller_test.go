package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/membership"
)

// testDomain is a failure domain with a controller and engines that carry out
// every order at once, except those in ignoresOrders.
type testDomain struct {
	now           time.Time
	state         *State
	controller    *Controller
	observed      []Observation
	notReporting  map[string]bool
	ignoresOrders map[string]bool
	commands      []Command
	settings      Settings
}

func newTestDomain(instances int, demands ...Demand) *testDomain {
	domain := &testDomain{now: time.Unix(1_700_000_000, 0), state: NewState(), notReporting: map[string]bool{}, ignoresOrders: map[string]bool{}, settings: Settings{Demands: demands}}
	domain.controller = NewController(Config{FailureDomain: "a", DisablePreload: true}, 1, domain.now)
	for i := range instances {
		domain.observed = append(domain.observed, Observation{
			ID: fmt.Sprintf("i%d", i), Incarnation: 1, FabricDomain: "f", Accelerators: 2, Fencing: true, State: membership.Ready, Idle: true,
		})
	}
	return domain
}

func testDemand(name string, groups int) Demand {
	return Demand{Service: name, Model: membership.Model{Name: name}, Groups: groups, GroupSize: 2, DowntimeWeight: 5, StrandedWeight: 1}
}

// run advances the domain by d. commands then holds the commands applied in
// that time.
func (domain *testDomain) run(d time.Duration) {
	domain.commands = nil
	for end := domain.now.Add(d); domain.now.Before(end); {
		domain.now = domain.now.Add(500 * time.Millisecond)
		for i := range domain.observed {
			if !domain.notReporting[domain.observed[i].ID] {
				domain.observed[i].ReportedAt = domain.now
			}
		}
		out := domain.controller.Decide(domain.now, domain.state, domain.observed, domain.settings)
		for _, o := range out.Orders {
			for i := range domain.observed {
				switch e := &domain.observed[i]; {
				case e.ID != o.Instance || domain.ignoresOrders[e.ID]:
				case o.Kind == OrderForm:
					e.InForce = membership.GroupRef{Group: o.Group, Epoch: o.Epoch, Rank: o.Rank}
				case o.Kind == OrderRelease:
					e.InForce = membership.GroupRef{}
				}
			}
		}
		for _, c := range out.Commands {
			if domain.state.Apply(c).Code == Applied {
				domain.commands = append(domain.commands, c)
			}
		}
	}
}

func (domain *testDomain) commandKinds() []Kind {
	var list []Kind
	for _, c := range domain.commands {
		list = append(list, c.Kind)
	}
	return list
}

func (domain *testDomain) servingGroups(service string) int {
	n := 0
	for _, g := range domain.state.Groups {
		if g.Service == service && g.Phase == Serving {
			n++
		}
	}
	return n
}

// Guards against the replacement of a leaving member before its group has
// drained.
func TestLeavingMemberDrainsFirst(t *testing.T) {
	domain := newTestDomain(5, testDemand("m", 2))
	domain.run(20 * time.Second)
	require.Equal(t, 2, domain.servingGroups("m"))
	domain.observed[0].State, domain.observed[0].Idle = membership.Draining, false
	domain.run(10 * time.Second)
	require.Equal(t, []Kind{Drain}, domain.commandKinds(), "requests are in flight")
	require.Empty(t, domain.state.Check())
	domain.observed[0].Idle = true
	domain.run(20 * time.Second)
	require.Equal(t, []Kind{Replace, Confirm}, domain.commandKinds()[:2])
	require.Equal(t, 2, domain.servingGroups("m"))
}

// Guards against dissolving all groups of a fabric domain that goes down and
// returns.
func TestFabricOutageChangesNoGroup(t *testing.T) {
	domain := newTestDomain(7, testDemand("m", 3))
	domain.run(20 * time.Second)
	for _, o := range domain.observed {
		domain.notReporting[o.ID] = true
	}
	domain.run(10 * time.Minute)
	require.Empty(t, domain.commands)
	clear(domain.notReporting)
	domain.run(20 * time.Second)
	require.Empty(t, domain.commands)
	require.Equal(t, 3, domain.servingGroups("m"))
}

// Guards against changes of a healthy group without gain, and against moving
// its capacity to another model before it has drained.
func TestCapacityMovesForGain(t *testing.T) {
	domain := newTestDomain(4, testDemand("m", 2), testDemand("n", 0))
	domain.run(20 * time.Second)
	domain.run(time.Minute)
	require.Empty(t, domain.commands)
	domain.settings.Demands[0].Groups, domain.settings.Demands[1].Groups = 1, 1
	domain.run(time.Minute)
	require.Equal(t, Drain, domain.commands[0].Kind)
	require.Positive(t, domain.commands[0].Gain)
	require.Equal(t, 1, domain.servingGroups("m"))
	require.Equal(t, 1, domain.servingGroups("n"))
}

// Guards against a slow member that is kept although a spare is available.
func TestSlowMemberIsReplacedForGain(t *testing.T) {
	domain := newTestDomain(3, testDemand("m", 1))
	domain.run(20 * time.Second)
	domain.observed[0].Slowdown = 0.5
	domain.run(time.Minute)
	require.Equal(t, []Kind{Drain, Replace, Confirm}, domain.commandKinds()[:3])
	require.Positive(t, domain.commands[0].Gain)
	require.Equal(t, 1, domain.servingGroups("m"))
}

// Guards against a replacement that keeps an absent member. Building the member
// list panicked when the view no longer contained that member.
func TestAbsentMemberIsNotKept(t *testing.T) {
	cold := testDemand("m", 1)
	cold.WeightBytes = 100e9 // waiting for the absent member is cheaper than loading
	domain := newTestDomain(3, cold)
	domain.settings.StoreRate = 1e9
	domain.ignoresOrders["i0"] = true
	domain.run(459 * time.Second) // the limit for i0 is 460 s after its order
	domain.observed = append(domain.observed[:1:1], domain.observed[2])
	domain.run(4 * time.Second)
	for _, c := range domain.commands {
		for _, m := range c.Members {
			require.NotEqual(t, "i1", m.ID, "%s keeps the absent member", c.Kind)
		}
	}
	require.Empty(t, domain.state.Check())
}

// Guards against two groups that stay broken after losses although one can be
// completed with the survivors of the other.
func TestBrokenGroupIsCompletedFromAnother(t *testing.T) {
	domain := newTestDomain(6, testDemand("m", 3))
	domain.run(20 * time.Second)
	for _, id := range []string{"i0", "i2"} {
		domain.notReporting[id] = true
	}
	domain.run(5 * time.Minute)
	require.Equal(t, 2, domain.servingGroups("m"))
	require.NotEmpty(t, domain.controller.LostTimes())
	require.Empty(t, domain.state.Check())
}

// Guards against concurrent loads that all finish late. The weight store serves
// the change with the highest benefit first.
func TestWeightStoreQueueIsOrderedByBenefit(t *testing.T) {
	low, high := testDemand("low", 1), testDemand("high", 1)
	low.WeightBytes, high.WeightBytes, high.DowntimeWeight = 10e9, 10e9, 50
	domain := newTestDomain(4, low, high)
	domain.settings.StoreRate = 1e9
	domain.run(5 * time.Second)
	require.Equal(t, "high", domain.commands[0].Service)
	domain.run(25 * time.Second)
	require.Equal(t, "low", domain.commands[0].Service)
}

// Guards against dispatch to a group with a member that is unknown, draining,
// or of another incarnation, rank or epoch.
func TestServableRequiresEveryMember(t *testing.T) {
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

// BenchmarkDecide measures a decision without changes in a failure domain of
// the planned size.
func BenchmarkDecide(b *testing.B) {
	d := testDemand("m", 48)
	d.GroupSize = 8
	domain := newTestDomain(420, d)
	for i := range domain.observed {
		domain.observed[i].FabricDomain = fmt.Sprintf("f%02d", i/35)
	}
	domain.run(20 * time.Second)
	require.Equal(b, 48, domain.servingGroups("m"))
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		domain.controller.Decide(domain.now, domain.state, domain.observed, domain.settings)
	}
}

// Guards against waiting for an absent member beyond the patience in the
// settings because members have usually returned.
func TestPatienceLimitsTheWait(t *testing.T) {
	absentFor := func(patience time.Duration) []Kind {
		d := testDemand("m", 1)
		d.Patience = patience
		domain := newTestDomain(3, d)
		// Members have always returned after 20 s, so waiting is cheapest.
		domain.controller.absences = nil
		for range 50 {
			domain.controller.absences = append(domain.controller.absences, 20*time.Second)
		}
		domain.run(30 * time.Second)
		require.Equal(t, 1, domain.servingGroups("m"))
		domain.controller.cfg.StartTime = time.Minute
		for _, g := range domain.state.Groups {
			domain.notReporting[g.Members[1].ID] = true
		}
		domain.run(15 * time.Second)
		return domain.commandKinds()
	}
	require.Empty(t, absentFor(0))
	require.Contains(t, absentFor(5*time.Second), Replace)
}
