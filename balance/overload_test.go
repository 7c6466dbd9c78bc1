package balance

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overload plays entries with occasional reports against groups that follow the
// engines' step model, for a pattern of arrivals.
type overload struct {
	groups, entries int
	// slots of a group; 0 stands for simSlots.
	slots int
	// rare says that a group's reports reach an entry only with its own
	// requests, as where each of many entries has few. What entries have in
	// flight is then shared by way of the control instances.
	rare bool
	// rate is the number of requests a second at a time.
	rate func(at time.Duration) float64
	// capacity is the number of groups that serve at a time.
	capacity func(at time.Duration) int
	length   time.Duration
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

type tally struct{ timely, late, refused, lost int }

func (t tally) total() int { return t.timely + t.late + t.refused + t.lost }

const (
	simTick = 5 * time.Millisecond
	// simReport is the time between two answers of a group to one entry, each of
	// which tells the group's load.
	simReport = 300 * time.Millisecond
	// simTold is the time between two reports of an entry to the control
	// instances, simShared that between two updates from there.
	simTold      = 200 * time.Millisecond
	simShared    = 200 * time.Millisecond
	simSlots     = 26
	simObjective = 400 * time.Millisecond
	simPatience  = 5 * time.Second
)

func (o overload) play(seed uint64) tally {
	if o.slots == 0 {
		o.slots = simSlots
	}
	random := rand.New(rand.NewPCG(seed, 7))
	c := costs()
	occupancy := c.Engine.Occupancy(c.Model, c.Engine.UsualPrompt, c.Engine.UsualAnswer)
	groups := make([]simGroup, o.groups)
	var t tally
	// trackers are those of each entry for each group.
	trackers := make([][]Tracker, o.entries)
	for e := range trackers {
		trackers[e] = make([]Tracker, o.groups)
	}
	told := make([][]int, o.entries)
	for e := range told {
		told[e] = make([]int, o.groups)
	}
	due := 0.0
	for now := time.Duration(0); now < o.length; now += simTick {
		serving := o.capacity(now)
		for g := range groups {
			started := func(entry int) {
				if o.rare {
					trackers[entry][g].Report(at(now), float64(len(groups[g].running)+len(groups[g].waiting)))
				}
			}
			groups[g].advance(now, o.slots, occupancy, c, &t, started, func(entry int) { trackers[entry][g].End() })
		}
		reported := observe(groups, o.slots)
		if o.rare {
			share(now, trackers, told)
		}
		for e := range trackers {
			for g := range trackers[e] {
				// Reports reach the entries one after the other.
				if !o.rare && (int(now/simTick)+7*e+3*g)%int(simReport/simTick) == 0 {
					trackers[e][g].Report(at(now), reported[g].Running)
				}
			}
		}
		for due += o.rate(now) * simTick.Seconds(); due >= 1; due-- {
			entry := random.IntN(o.entries)
			candidates := make([]Candidate, serving)
			for g := range candidates {
				candidates[g] = reported[g]
				estimate := trackers[entry][g].Estimate(at(now), o.entries, o.slots, occupancy)
				candidates[g].Running, candidates[g].Uncertain = estimate.Running, estimate.Uncertain
				candidates[g].Local = g%3 == entry%3
			}
			d := Choose(random, c, Request{PromptTokens: 1115, AnswerTokens: 152, Remaining: simPatience, Objective: simObjective}, candidates)
			if d.Index < 0 {
				t.refused++
				continue
			}
			trackers[entry][d.Index].Send()
			groups[d.Index].waiting = append(groups[d.Index].waiting, simRequest{now, d.Deferred, entry})
		}
	}
	return t
}

// share passes on what entries have in flight.
func share(now time.Duration, trackers [][]Tracker, told [][]int) {
	for e := range trackers {
		if (int(now/simTick)+7*e)%int(simTold/simTick) == 0 {
			for g := range trackers[e] {
				told[e][g] = trackers[e][g].InFlight
			}
		}
	}
	if int(now/simTick)%int(simShared/simTick) != 0 {
		return
	}
	for g := range trackers[0] {
		total := 0
		for e := range told {
			total += told[e][g]
		}
		for e := range trackers {
			trackers[e][g].Share(at(now), float64(total-told[e][g]))
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

func (g *simGroup) advance(now time.Duration, slots int, occupancy time.Duration, c EngineCosts, t *tally, started, ended func(entry int)) {
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
		first := now - r.arrived + c.Usual
		switch {
		case now-r.arrived > simPatience:
			t.lost++
			ended(r.entry)
			continue
		case first <= simObjective:
			t.timely++
		default:
			t.late++
		}
		g.running = append(g.running, simRun{now + occupancy, r.entry})
		started(r.entry)
	}
}

// full is the rate that fills a number of groups.
func full(groups int) float64 {
	c := costs()
	return float64(groups*simSlots) / c.Engine.Occupancy(c.Model, c.Engine.UsualPrompt, c.Engine.UsualAnswer).Seconds()
}

func at(d time.Duration) time.Time { return time.UnixMilli(1_000_000).Add(d) }

func constant(v int) func(time.Duration) int { return func(time.Duration) int { return v } }

// Guards against the patterns of the heaviest days, in which every request was
// late before late ones were deferred. The bound is what the groups can carry
// in time, less a tenth for reports that age and entries that know only of
// their own sends.
func TestOverloadPatterns(t *testing.T) {
	for _, test := range []struct {
		name    string
		pattern overload
		least   float64
	}{
		{"nine tenths of the capacity", overload{groups: 6, rate: func(time.Duration) float64 { return 0.9 * full(6) }, capacity: constant(6)}, 0.9},
		{"a tenth above the capacity for long", overload{groups: 6, rate: func(time.Duration) float64 { return 1.1 * full(6) }, capacity: constant(6)}, 0.9 / 1.1},
		{"burst of all callers", overload{groups: 6, rate: func(at time.Duration) float64 {
			if at > 5*time.Second && at < 8*time.Second {
				return 1.7 * 0.75 * full(6)
			}
			return 0.75 * full(6)
		}, capacity: constant(6)}, 0.9},
		{"a third of the groups gone", overload{groups: 6, rate: func(time.Duration) float64 { return 0.75 * full(6) }, capacity: func(at time.Duration) int {
			if at > 5*time.Second && at < 12*time.Second {
				return 4
			}
			return 6
		}}, 0.85},
		{"three quarters of the capacity from many entries", overload{groups: 13, entries: 69, slots: 48, rare: true,
			rate: func(time.Duration) float64 { return 0.75 * 48 / simSlots * full(13) }, capacity: constant(13)}, 0.9},
	} {
		test.pattern.entries, test.pattern.length = max(test.pattern.entries, 7), 20*time.Second
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(5) {
				got := test.pattern.play(seed)
				require.GreaterOrEqual(t, float64(got.timely)/float64(got.total()), test.least, "seed %d: %+v", seed, got)
				require.LessOrEqual(t, float64(got.lost)/float64(got.total()), 0.02, "seed %d: %+v: accepted and then given up", seed, got)
			}
		})
	}
}

// Guards against a lasting overload of twice the capacity in which most of what
// is served is late.
func TestOverloadOfTwiceTheCapacity(t *testing.T) {
	pattern := overload{groups: 6, entries: 7, length: 20 * time.Second, rate: func(time.Duration) float64 { return 2 * full(6) }, capacity: constant(6)}
	for seed := range uint64(5) {
		got := pattern.play(seed)
		require.GreaterOrEqual(t, float64(got.timely)/float64(got.total()), 0.4, "seed %d: %+v", seed, got)
		require.LessOrEqual(t, float64(got.lost)/float64(got.total()), 0.02, "seed %d: %+v: accepted and then given up", seed, got)
	}
}

// Guards against many entries that each know little of a group and together
// send more than it can begin, so that most of what is served is late. The bound
// is that of the same overload from few entries.
func TestOverloadFromManyEntries(t *testing.T) {
	pattern := overload{groups: 13, entries: 69, slots: 48, rare: true, length: 20 * time.Second,
		rate: func(time.Duration) float64 { return 1.1 * 48 / simSlots * full(13) }, capacity: constant(13)}
	for seed := range uint64(5) {
		got := pattern.play(seed)
		require.GreaterOrEqual(t, float64(got.timely)/float64(got.total()), 0.9/1.1, "seed %d: %+v", seed, got)
		require.LessOrEqual(t, float64(got.lost)/float64(got.total()), 0.02, "seed %d: %+v: accepted and then given up", seed, got)
	}
}
