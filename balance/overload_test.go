package balance

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulation runs entries with periodic load reports against groups that follow
// the step model of the engines, with a given arrival rate.
type simulation struct {
	groups, entries int
	// slots is the number of slots of a group; 0 means simSlots.
	slots int
	// reportsOnRequest is set if the load reports of a group reach an entry only
	// with the answers to its own requests, as in deployments with many entries
	// and few requests for each. The entries then share their in-flight counts
	// through the control instances.
	reportsOnRequest bool
	// rate returns the number of arriving requests per second.
	rate func(at time.Duration) float64
	// servingGroups returns the number of groups that serve.
	servingGroups func(at time.Duration) int
	duration      time.Duration
}

type simGroup struct {
	running []simRun
	waiting []simRequest
}

type simRun struct {
	end   time.Duration
	entry int
}

type simRequest struct {
	arrived  time.Duration
	deferred bool
	entry    int
}

// outcomes counts requests by result: answered within the objective, answered
// later, refused, or accepted and then timed out.
type outcomes struct{ timely, late, refused, lost int }

func (o outcomes) total() int { return o.timely + o.late + o.refused + o.lost }

const (
	simTickInterval = 5 * time.Millisecond
	// simReportInterval is the time between two answers of a group to one entry.
	// Each answer carries the load of the group.
	simReportInterval = 300 * time.Millisecond
	// simEntryReportInterval is the time between two reports of an entry to the
	// control instances; simShareInterval is the time between two updates from the
	// control instances.
	simEntryReportInterval = 200 * time.Millisecond
	simShareInterval       = 200 * time.Millisecond
	simSlots               = 26
	simObjective           = 400 * time.Millisecond
	simTimeout             = 5 * time.Second
)

func (s simulation) run(seed uint64) outcomes {
	if s.slots == 0 {
		s.slots = simSlots
	}
	random := rand.New(rand.NewPCG(seed, 7))
	c := costs()
	occupancy := c.Engine.Occupancy(c.Model, c.Engine.MeanPromptTokens, c.Engine.MeanAnswerTokens)
	groups := make([]simGroup, s.groups)
	var result outcomes
	// trackers is indexed by entry and group.
	trackers := make([][]Tracker, s.entries)
	for e := range trackers {
		trackers[e] = make([]Tracker, s.groups)
	}
	entryReports := make([][]int, s.entries)
	for e := range entryReports {
		entryReports[e] = make([]int, s.groups)
	}
	pendingArrivals := 0.0
	for now := time.Duration(0); now < s.duration; now += simTickInterval {
		serving := s.servingGroups(now)
		for g := range groups {
			started := func(entry int) {
				if s.reportsOnRequest {
					trackers[entry][g].Report(simTime(now), float64(len(groups[g].running)+len(groups[g].waiting)))
				}
			}
			groups[g].advance(now, s.slots, occupancy, c, &result, started, func(entry int) { trackers[entry][g].End() })
		}
		reported := observe(groups, s.slots)
		if s.reportsOnRequest {
			share(now, trackers, entryReports)
		}
		for e := range trackers {
			for g := range trackers[e] {
				// Reports reach the entries at different times.
				if !s.reportsOnRequest && (int(now/simTickInterval)+7*e+3*g)%int(simReportInterval/simTickInterval) == 0 {
					trackers[e][g].Report(simTime(now), reported[g].Running)
				}
			}
		}
		for pendingArrivals += s.rate(now) * simTickInterval.Seconds(); pendingArrivals >= 1; pendingArrivals-- {
			entry := random.IntN(s.entries)
			candidates := make([]Candidate, serving)
			for g := range candidates {
				candidates[g] = reported[g]
				estimate := trackers[entry][g].Estimate(simTime(now), s.entries, s.slots, occupancy)
				candidates[g].Running, candidates[g].EndedSinceMeasurement = estimate.Running, estimate.EndedSinceMeasurement
				candidates[g].Local = g%3 == entry%3
			}
			d := Choose(random, c, Request{PromptTokens: 1115, AnswerTokens: 152, Remaining: simTimeout, Objective: simObjective}, candidates)
			if d.Index < 0 {
				result.refused++
				continue
			}
			trackers[entry][d.Index].Send()
			groups[d.Index].waiting = append(groups[d.Index].waiting, simRequest{now, d.Deferred, entry})
		}
	}
	return result
}

// share exchanges the in-flight counts between the entries.
func share(now time.Duration, trackers [][]Tracker, entryReports [][]int) {
	for e := range trackers {
		if (int(now/simTickInterval)+7*e)%int(simEntryReportInterval/simTickInterval) == 0 {
			for g := range trackers[e] {
				entryReports[e][g] = trackers[e][g].InFlight
			}
		}
	}
	if int(now/simTickInterval)%int(simShareInterval/simTickInterval) != 0 {
		return
	}
	for g := range trackers[0] {
		total := 0
		for e := range entryReports {
			total += entryReports[e][g]
		}
		for e := range trackers {
			trackers[e][g].Share(simTime(now), float64(total-entryReports[e][g]))
		}
	}
}

func observe(groups []simGroup, slots int) []Candidate {
	all := make([]Candidate, len(groups))
	for g := range groups {
		deferred := 0
		for _, r := range groups[g].waiting {
			if r.deferred {
				deferred++
			}
		}
		all[g] = Candidate{Running: float64(len(groups[g].running) + len(groups[g].waiting)), Deferred: float64(deferred), Slots: slots}
	}
	return all
}

func (g *simGroup) advance(now time.Duration, slots int, occupancy time.Duration, c EngineCosts, result *outcomes, started, ended func(entry int)) {
	kept := g.running[:0]
	for _, r := range g.running {
		if r.end > now {
			kept = append(kept, r)
		} else {
			ended(r.entry)
		}
	}
	g.running = kept
	sort.SliceStable(g.waiting, func(a, b int) bool { return !g.waiting[a].deferred && g.waiting[b].deferred })
	for len(g.running) < slots && len(g.waiting) > 0 {
		r := g.waiting[0]
		g.waiting = g.waiting[1:]
		first := now - r.arrived + c.BaselineLatency
		switch {
		case now-r.arrived > simTimeout:
			result.lost++
			ended(r.entry)
			continue
		case first <= simObjective:
			result.timely++
		default:
			result.late++
		}
		g.running = append(g.running, simRun{now + occupancy, r.entry})
		started(r.entry)
	}
}

// fullRate returns the arrival rate that occupies all slots of the given number
// of groups.
func fullRate(groups int) float64 {
	c := costs()
	return float64(groups*simSlots) / c.Engine.Occupancy(c.Model, c.Engine.MeanPromptTokens, c.Engine.MeanAnswerTokens).Seconds()
}

func simTime(d time.Duration) time.Time { return time.UnixMilli(1_000_000).Add(d) }

func constant(v int) func(time.Duration) int { return func(time.Duration) int { return v } }

// Guards against overload in which most requests are late. On the heaviest
// recorded days, every request was late before late requests were deferred. The
// bound is the capacity of the groups less 10% for outdated reports and for
// requests of other entries that an entry does not know of.
func TestOverloadPatterns(t *testing.T) {
	for _, test := range []struct {
		name      string
		pattern   simulation
		minTimely float64
	}{
		{"nine tenths of the capacity", simulation{groups: 6, rate: func(time.Duration) float64 { return 0.9 * fullRate(6) }, servingGroups: constant(6)}, 0.9},
		{"a tenth above the capacity for long", simulation{groups: 6, rate: func(time.Duration) float64 { return 1.1 * fullRate(6) }, servingGroups: constant(6)}, 0.9 / 1.1},
		{"burst of all callers", simulation{groups: 6, rate: func(at time.Duration) float64 {
			if at > 5*time.Second && at < 8*time.Second {
				return 1.7 * 0.75 * fullRate(6)
			}
			return 0.75 * fullRate(6)
		}, servingGroups: constant(6)}, 0.9},
		{"a third of the groups gone", simulation{groups: 6, rate: func(time.Duration) float64 { return 0.75 * fullRate(6) }, servingGroups: func(at time.Duration) int {
			if at > 5*time.Second && at < 12*time.Second {
				return 4
			}
			return 6
		}}, 0.85},
		{"three quarters of the capacity from many entries", simulation{groups: 13, entries: 69, slots: 48, reportsOnRequest: true,
			rate: func(time.Duration) float64 { return 0.75 * 48 / simSlots * fullRate(13) }, servingGroups: constant(13)}, 0.9},
	} {
		test.pattern.entries, test.pattern.duration = max(test.pattern.entries, 7), 20*time.Second
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(5) {
				got := test.pattern.run(seed)
				require.GreaterOrEqual(t, float64(got.timely)/float64(got.total()), test.minTimely, "seed %d: %+v", seed, got)
				require.LessOrEqual(t, float64(got.lost)/float64(got.total()), 0.02, "seed %d: %+v: accepted and then timed out", seed, got)
			}
		})
	}
}

// Guards against most answers being late under sustained overload at twice the
// capacity.
func TestOverloadOfTwiceTheCapacity(t *testing.T) {
	pattern := simulation{groups: 6, entries: 7, duration: 20 * time.Second, rate: func(time.Duration) float64 { return 2 * fullRate(6) }, servingGroups: constant(6)}
	for seed := range uint64(5) {
		got := pattern.run(seed)
		require.GreaterOrEqual(t, float64(got.timely)/float64(got.total()), 0.4, "seed %d: %+v", seed, got)
		require.LessOrEqual(t, float64(got.lost)/float64(got.total()), 0.02, "seed %d: %+v: accepted and then timed out", seed, got)
	}
}

// Guards against many entries that each know little about a group and together
// send more than it can start, so that most answers are late. The bound is the
// same as for this overload from few entries.
func TestOverloadFromManyEntries(t *testing.T) {
	pattern := simulation{groups: 13, entries: 69, slots: 48, reportsOnRequest: true, duration: 20 * time.Second,
		rate: func(time.Duration) float64 { return 1.1 * 48 / simSlots * fullRate(13) }, servingGroups: constant(13)}
	for seed := range uint64(5) {
		got := pattern.run(seed)
		require.GreaterOrEqual(t, float64(got.timely)/float64(got.total()), 0.9/1.1, "seed %d: %+v", seed, got)
		require.LessOrEqual(t, float64(got.lost)/float64(got.total()), 0.02, "seed %d: %+v: accepted and then timed out", seed, got)
	}
}
