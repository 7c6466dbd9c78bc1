package placement

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/fleet"
)

func inGroup(e *simEngine) bool { return e.alive && e.member.State != fleet.NoGroup }

// Guards against forming groups in numbers that do not match the demand shares
// of the models.
func TestFormsGroupsByDemandShare(t *testing.T) {
	s := newSimulation(t, 1, 6, 11)
	s.run(120 * time.Second)
	require.Empty(t, s.violation)
	require.Equal(t, map[string]int{"large": 6, "small": 6}, s.open())
}

// Guards against a group being down after the loss of a member for longer than
// it takes to detect the loss, add a staged spare and open the group again.
func TestReplacesLostMemberBySpare(t *testing.T) {
	s := newSimulation(t, 2, 1, 11)
	s.run(120 * time.Second)
	require.Equal(t, map[string]int{"large": 1, "small": 1}, s.open())
	s.traffic = true
	lost := s.pickEngine(func(e *simEngine) bool { return inGroup(e) && e.model == "large" && e.member.Rank > 0 })
	s.kill(lost)
	s.run(4500 * time.Millisecond)
	require.Empty(t, s.violation)
	require.Equal(t, map[string]int{"large": 1, "small": 1}, s.open(), s.traceLines("i-0"))
}

// Guards against replacing a group whose head is only unreachable for the
// leader. Its members may be used again only after the head has stopped
// serving.
func TestUnreachableHeadIsIsolatedFirst(t *testing.T) {
	s := newSimulation(t, 3, 1, 11)
	s.run(120 * time.Second)
	s.traffic = true
	head := s.pickEngine(func(e *simEngine) bool { return e.model == "large" && e.member.State == fleet.Open })
	head.partitioned = true
	s.run(30 * time.Second)
	require.Empty(t, s.violation)
	require.Equal(t, map[string]int{"large": 1, "small": 1}, s.open(), "a head that still serves is not replaced")
	s.kill(head)
	// Entries report that the streams of the dead head have stalled.
	name, epoch := head.member.Group, head.member.Epoch
	s.planner.ReportStall(s.now, name, epoch)
	s.run(time.Second)
	s.planner.ReportStall(s.now, name, epoch)
	s.run(14 * time.Second)
	require.Empty(t, s.violation)
	require.Equal(t, map[string]int{"large": 1, "small": 1}, s.open())
}

// Guards against using the members of a group elsewhere because nobody has heard from
// any of them for a long time: behind a partition the group may serve all the time.
func TestUnreachableGroupIsNotDissolved(t *testing.T) {
	for _, cut := range []time.Duration{10 * time.Second, 18 * time.Second, 40 * time.Second, 2 * time.Minute} {
		t.Run(cut.String(), func(t *testing.T) {
			s := newSimulation(t, 30, 2, 11)
			s.run(120 * time.Second)
			s.traffic = true
			before := s.open()
			// The group has no requests, so that no entry reports progress.
			s.progressReportsLost = true
			head := s.pickEngine(func(e *simEngine) bool { return e.model == "large" && e.member.State == fleet.Open })
			setPartitioned := func(partitioned bool) {
				for _, id := range head.members {
					s.byID[id].partitioned = partitioned
				}
			}
			group := head.member
			setPartitioned(true)
			s.run(cut)
			setPartitioned(false)
			s.run(20 * time.Second)
			require.Empty(t, s.violation, s.traceLines(group.Group))
			require.GreaterOrEqual(t, s.open()["large"], before["large"], "its engines are in use again")
		})
	}
}

// Guards against the members of a group with a lost head staying idle until the
// head must have given up. They can leave the group at once.
func TestMembersOfLostHeadAreUsedAtOnce(t *testing.T) {
	s := newSimulation(t, 8, 1, 12)
	s.run(120 * time.Second)
	s.traffic = true
	head := s.pickEngine(func(e *simEngine) bool { return e.model == "large" && e.member.State == fleet.Open })
	s.kill(head)
	// Silence of 3 s, a drain of 1.5 s, a warm start of 1.6 s and 0.3 s to open; the
	// head would give up only 7 s after its first member has left.
	s.run(8 * time.Second)
	require.Empty(t, s.violation)
	require.Equal(t, 1, s.open()["large"], s.traceLines("i-0"))
}

// Guards against groups that are held forever for heads that have ended: a fabric
// domain loses power and returns under new IDs while the leader changes.
func TestDomainReturnsUnderNewIDs(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulation(t, 300+seed, 2, 11)
		s.run(90 * time.Second)
		s.traffic = true
		var lost []*simEngine
		for _, e := range s.engines {
			if e.domain == "d0" {
				lost = append(lost, e)
				s.kill(e)
			}
		}
		s.run(3 * time.Second)
		s.newLeader(seed%2 == 0)
		s.run(3 * time.Second)
		for _, e := range lost {
			s.replace(e)
		}
		s.run(5 * time.Second)
		require.Empty(t, s.violation, "seed %d", seed)
		require.Empty(t, s.planner.PendingGroups(s.now), "seed %d", seed)
		total := s.open()
		require.GreaterOrEqual(t, 6*total["large"]+3*total["small"], 15, "seed %d: engines stay idle: %v", seed, total)
	}
}

// Guards against a split of the engines that stays as it was when the demand moves
// from one model to the other. Members hold the other model on their hosts, so
// that no load is needed.
func TestDemandMovesBetweenModels(t *testing.T) {
	for _, test := range []struct {
		name       string
		demand     map[string]float64
		model      string
		wantCopies int
	}{
		{"to the large model", map[string]float64{"large": 7, "small": 1.5}, "large", 6},
		{"to the small model", map[string]float64{"large": 1, "small": 9}, "small", 9},
		{"to the large model, although the small one is loaded as well", map[string]float64{"large": 7.5, "small": 4.4}, "large", 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(t, 20, 4, 12)
			s.run(120 * time.Second)
			require.Less(t, s.open()[test.model], test.wantCopies)
			s.traffic, s.demand = true, test.demand
			s.run(15 * time.Second)
			require.Empty(t, s.violation)
			require.GreaterOrEqual(t, s.open()[test.model], test.wantCopies, "%v", s.open())
		})
	}
}

// Guards against engines being moved back and forth between models while the
// demand stays the same.
func TestSteadyDemandMovesNothing(t *testing.T) {
	s := newSimulation(t, 21, 4, 12)
	s.run(120 * time.Second)
	s.traffic, s.demand = true, map[string]float64{"large": 5, "small": 5}
	s.run(30 * time.Second)
	closes := s.orders[Close]
	s.run(120 * time.Second)
	require.Equal(t, closes, s.orders[Close])
}

// Guards against fragments of large groups that idle although engines of smaller
// groups in their domain could complete them: each domain of ten loses members of
// its large groups.
func TestFragmentsAreCompleted(t *testing.T) {
	s := newSimulation(t, 22, 3, 10)
	s.engine.Models[0].GroupSize, s.engine.Models[1].GroupSize = 4, 2
	s.run(120 * time.Second)
	s.traffic = true
	before := s.open()["large"]
	s.demand = map[string]float64{"large": float64(before), "small": 0.5}
	for _, domain := range []string{"d0", "d1", "d2"} {
		if e := s.pickEngine(func(e *simEngine) bool {
			return e.domain == domain && e.model == "large" && e.member.Rank > 0 && e.member.Group != ""
		}); e != nil {
			s.kill(e)
		}
	}
	s.run(9 * time.Second)
	require.Empty(t, s.violation)
	require.Equal(t, before, s.open()["large"], "%v", s.open())
}

// Guards against engines that stay idle because the catalog changes during their
// transfer to another model.
func TestTransferSurvivesNewCatalog(t *testing.T) {
	s := newSimulation(t, 9, 1, 12)
	s.run(120 * time.Second)
	s.traffic = true
	s.run(time.Second)
	s.kill(s.pickEngine(func(e *simEngine) bool { return e.model == "large" && e.member.Rank > 0 && e.member.Group != "" }))
	for range 120 {
		s.run(simStep)
		changed := *s.engine
		changed.Models = slices.Clone(s.engine.Models)
		s.planner.SetEngine(&changed)
	}
	require.Empty(t, s.violation)
	require.Equal(t, 1, s.open()["large"], s.traceLines("i-0"))
}

// Guards against closing a group because a member drains although no engine can
// replace it yet. Draining members stay while the group has work.
func TestKeepsServingWithDrainingMember(t *testing.T) {
	s := newSimulation(t, 5, 1, 9)
	s.run(120 * time.Second)
	s.traffic = true
	s.drain(s.pickEngine(func(e *simEngine) bool { return e.model == "large" && e.member.Rank > 0 }))
	s.run(7 * time.Second)
	require.Equal(t, map[string]int{"large": 1, "small": 1}, s.open(), "no engine is free")
	s.run(40 * time.Second)
	require.Empty(t, s.violation)
	require.Equal(t, map[string]int{"large": 1, "small": 1}, s.open())
	s = newSimulation(t, 6, 1, 11)
	s.run(120 * time.Second)
	s.traffic = true
	s.drain(s.pickEngine(func(e *simEngine) bool { return e.model == "large" && e.member.Rank > 0 }))
	s.run(6 * time.Second)
	require.Empty(t, s.violation)
	require.Equal(t, map[string]int{"large": 1, "small": 1}, s.open(), "the spare has replaced it")
}

// Guards against engines that wait for the last member of their group to load
// being staged with another model, so that neither group is formed.
func TestWaitingEnginesAreNotTakenAway(t *testing.T) {
	s := newSimulation(t, 7, 1, 11)
	s.run(120 * time.Second)
	s.traffic = true
	// Two members are lost. A spare replaces the first one; the replacement of the
	// second one has to load the model for 16 s.
	for range 2 {
		s.kill(s.pickEngine(func(e *simEngine) bool {
			return e.alive && e.model == "large" && e.member.Rank > 0 && e.member.Group != ""
		}))
		s.run(5 * time.Second)
	}
	clear(s.loads)
	s.run(20 * time.Second)
	require.Empty(t, s.violation)
	require.Equal(t, map[string]int{"large": 1, "small": 1}, s.open())
	completing := 0
	for load, n := range s.loads {
		require.Equal(t, 1, n, "%v was loaded twice", load)
		if s.byID[load[0]].member.Group == "" || s.byID[load[0]].model == load[1] {
			completing++
		}
	}
	require.LessOrEqual(t, completing, 1, "engines outside the groups were loaded as well: %v", s.loads)
}

// Guards against closing groups behind a network partition when it heals,
// although they have been serving all the time.
func TestHealedCutLeavesGroupsAlone(t *testing.T) {
	s := newSimulation(t, 4, 2, 11)
	s.run(120 * time.Second)
	s.traffic = true
	joins := s.orders[Join]
	s.progressReportsLost = true
	for _, e := range s.engines {
		e.partitioned = e.domain == "d0"
	}
	s.run(5500 * time.Millisecond)
	for _, e := range s.engines {
		e.partitioned = false
	}
	s.progressReportsLost = false
	s.run(20 * time.Second)
	require.Empty(t, s.violation)
	require.Equal(t, map[string]int{"large": 2, "small": 2}, s.open())
	require.Equal(t, joins, s.orders[Join], "no group was formed again")
}

// Guards against a new leader taking engines out of serving groups because only
// some of the members have reported yet.
func TestNewLeaderKeepsGroupsItHearsOfLate(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(t, 100+seed, 2, 11)
		s.run(90 * time.Second)
		before := s.open()
		joins := s.orders[Join]
		s.newLeader(true)
		s.run(10 * time.Second)
		require.Empty(t, s.violation, "seed %d", seed)
		require.Equal(t, before, s.open(), "seed %d", seed)
		require.Equal(t, joins, s.orders[Join], "seed %d: no group was formed again", seed)
	}
}

// Guards against two groups sharing an engine and against groups serving
// without a member. The faults are lost and partitioned engines, delayed
// orders, and leader changes with and without the loss of the reports.
func TestInvariantsUnderFaults(t *testing.T) {
	seeds := uint64(200)
	for seed := range seeds {
		s := newSimulation(t, seed, 2, 11)
		s.run(40 * time.Second)
		s.traffic = true
		s.delayedOrderFraction = []float64{0, 0.15, 0.35}[seed%3]
		for range 25 {
			s.injectFault()
			s.run(time.Duration(200+s.random.IntN(4000)) * time.Millisecond)
		}
		s.delayedOrderFraction = 0
		for _, e := range s.engines {
			e.partitioned = false
			if !e.alive {
				s.restart(e)
			}
		}
		s.run(90 * time.Second)
		require.Empty(t, s.violation, "seed %d\n%s", seed, s.traceLines(strings.Fields(s.violation)...))
		total := s.open()
		// Engines that change their model when the time is up get the time for it.
		for end := s.now.Add(transferTimeout); 6*total["large"]+3*total["small"] < 17 && s.now.Before(end); total = s.open() {
			s.run(simStep)
		}
		require.GreaterOrEqual(t, 6*total["large"]+3*total["small"], 17, "seed %d: engines stay idle: %v", seed, total)
	}
}

// Guards against taking anything for a proof that a head has stopped that is none:
// silence of whole groups, processes at former addresses of restarted engines, late
// reports, and what earlier leaders have forgotten. The oracle is the engines' own
// state. Afterwards every engine must be in use again.
func TestNoMemberIsTakenWithoutProof(t *testing.T) {
	seeds := uint64(100)
	if n, err := strconv.ParseUint(os.Getenv("BLUEBELLFIELD_SOAK_SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	for seed := range seeds {
		s := newSimulation(t, 5000+seed, 2, 11)
		s.run(40 * time.Second)
		s.traffic = true
		s.delayedOrderFraction = []float64{0, 0.15}[seed%2]
		s.lateReportFraction = []float64{0, 0.1, 0.3}[seed%3]
		for range 30 {
			s.progressReportsLost = s.random.IntN(2) == 0
			switch s.random.IntN(6) {
			case 0, 1:
				s.partitionGroup()
			case 2:
				if e := s.pickEngine(func(e *simEngine) bool { return !e.alive }); e != nil {
					s.move(e)
				}
			case 3:
				s.reuseAddress()
			default:
				s.injectFault()
			}
			s.run(time.Duration(200+s.random.IntN(5000)) * time.Millisecond)
		}
		s.delayedOrderFraction, s.lateReportFraction, s.progressReportsLost = 0, 0, false
		for _, e := range s.engines {
			e.partitioned = false
			if !e.alive {
				s.move(e)
			}
		}
		s.run(90 * time.Second)
		require.Empty(t, s.violation, "seed %d\n%s", seed, s.traceLines(strings.Fields(s.violation)...))
		total := s.open()
		for end := s.now.Add(transferTimeout); 6*total["large"]+3*total["small"] < 17 && s.now.Before(end); total = s.open() {
			s.run(simStep)
		}
		require.GreaterOrEqual(t, 6*total["large"]+3*total["small"], 17, "seed %d: engines stay idle: %v", seed, total)
	}
}

// injectFault injects one random fault.
func (s *simulation) injectFault() {
	switch s.random.IntN(6) {
	case 0:
		if e := s.pickEngine(inGroup); e != nil {
			s.kill(e)
		}
	case 1:
		if e := s.pickEngine(func(e *simEngine) bool { return !e.alive }); e != nil {
			s.restart(e)
		}
	case 2:
		if e := s.pickEngine(inGroup); e != nil {
			e.partitioned = true
			s.after(time.Duration(1+s.random.IntN(10))*time.Second, func() { e.partitioned = false })
		}
	case 3:
		s.newLeader(s.random.IntN(2) == 0)
	case 4:
		if e := s.pickEngine(func(e *simEngine) bool { return inGroup(e) && !e.draining }); e != nil {
			s.drain(e)
		}
	}
}
