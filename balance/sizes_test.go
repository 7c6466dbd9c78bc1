package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/enginemodel"
)

// sizedSimulation runs entries against groups that read prompts and generate
// tokens in passes, for requests of different sizes that have to end within
// their time limit. A refused caller returns once.
type sizedSimulation struct {
	groups, entries, slots int
	duration               time.Duration
	// rate is the number of new requests per second.
	rate               float64
	classes            []sizedClass
	objective, timeout time.Duration
}

// sizedClass is a class of requests with log-normal sizes in tokens.
type sizedClass struct {
	// share is the fraction of all requests.
	share                                                       float64
	meanPrompt, promptSpread, meanAnswer, answerSpread, longest float64
}

type sizedRequest struct {
	class, prompt, answer int
	arrived               time.Duration
	returned              bool
	outcome               sizedOutcome

	entry             int
	deferred, started bool
	unread, generated int
}

type sizedOutcome uint8

const (
	sizedPending sizedOutcome = iota
	sizedServed
	sizedRefused
	// sizedTimedOut requests were accepted and did not end in time.
	sizedTimedOut
)

func (r *sizedRequest) size() int { return r.prompt + 10*r.answer }

// sizedGroup is a group that works in passes. nextPass is the end of the pass in
// progress.
type sizedGroup struct {
	running, waiting []*sizedRequest
	nextPass         time.Duration
}

func logNormal(random *rand.Rand, mean, spread, limit float64) int {
	return int(max(min(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2), limit), 1))
}

func (s sizedSimulation) draw(random *rand.Rand) *sizedRequest {
	x, class := random.Float64(), 0
	for class < len(s.classes)-1 && x >= s.classes[class].share {
		x -= s.classes[class].share
		class++
	}
	c := &s.classes[class]
	return &sizedRequest{class: class, prompt: logNormal(random, c.meanPrompt, c.promptSpread, 6000),
		answer: logNormal(random, c.meanAnswer, c.answerSpread, c.longest)}
}

// run returns the requests whose time limit ended within the duration.
func (s sizedSimulation) run(seed uint64) []*sizedRequest {
	random := rand.New(rand.NewPCG(seed, 11))
	e := engine()
	e.Slots, e.Stride = s.slots, 5
	c := EngineCosts{Engine: e, Model: &enginemodel.Model{Name: "m", GroupSize: 12, TimeFactor: 1}, BaselineLatency: 200 * time.Millisecond}
	occupancy := e.Occupancy(c.Model, e.MeanPromptTokens, e.MeanAnswerTokens)
	groups := make([]sizedGroup, s.groups)
	// deferred counts the deferred requests of an entry that a group has not started.
	deferred := make([][]int, s.entries)
	for i := range deferred {
		deferred[i] = make([]int, s.groups)
	}
	trackers, reports := make([][]Tracker, s.entries), make([][]int, s.entries)
	for i := range trackers {
		trackers[i], reports[i] = make([]Tracker, s.groups), make([]int, s.groups)
	}
	var all []*sizedRequest
	mixes := make([]Mix, s.entries)
	returning := map[time.Duration][]*sizedRequest{}
	pending := 0.0
	for now := time.Duration(0); now < s.duration; now += simTickInterval {
		for g := range groups {
			started := func(r *sizedRequest) {
				if r.deferred {
					deferred[r.entry][g]--
				}
			}
			groups[g].advance(now, s.timeout, c, started, func(r *sizedRequest) { trackers[r.entry][g].End() })
		}
		share(now, trackers, reports)
		due := returning[now]
		for pending += s.rate * simTickInterval.Seconds(); pending >= 1; pending-- {
			r := s.draw(random)
			r.arrived = now
			all, due = append(all, r), append(due, r)
		}
		for _, r := range due {
			r.entry, r.unread = random.IntN(s.entries), r.prompt
			elapsed := now - r.arrived
			candidates := make([]Candidate, s.groups)
			for g := range candidates {
				estimate := trackers[r.entry][g].Estimate(simTime(now), s.entries, s.slots, occupancy)
				candidates[g] = Candidate{Running: estimate.Running, EndedSinceMeasurement: estimate.EndedSinceMeasurement, Slots: s.slots, Local: g%3 == r.entry%3}
				if n := trackers[r.entry][g].InFlight; n > 0 {
					candidates[g].Deferred = estimate.Running * float64(deferred[r.entry][g]) / float64(n)
				}
			}
			rank := mixes[r.entry].Rank(random, r.answer)
			mixes[r.entry].Observe(e, c.Model, r.prompt, r.answer)
			d := Choose(random, c, Request{PromptTokens: r.prompt, AnswerTokens: r.answer,
				Ranked: mixes[r.entry].NeedsReservedGroup(e, c.Model, s.timeout), AnswerRank: rank, Remaining: s.timeout - elapsed, Objective: s.objective - elapsed}, candidates)
			switch {
			case d.Index >= 0:
				r.deferred = d.Deferred
				trackers[r.entry][d.Index].Send()
				if r.deferred {
					deferred[r.entry][d.Index]++
				}
				groups[d.Index].waiting = append(groups[d.Index].waiting, r)
			case r.returned:
				r.outcome = sizedRefused
			default:
				r.returned = true
				at := (now + d.RetryAfter).Truncate(simTickInterval) + simTickInterval
				returning[at] = append(returning[at], r)
			}
		}
	}
	return slices.DeleteFunc(all, func(r *sizedRequest) bool { return r.arrived+s.timeout >= s.duration })
}

// advance runs the passes that end until now.
func (g *sizedGroup) advance(now, timeout time.Duration, c EngineCosts, started, ended func(*sizedRequest)) {
	for g.nextPass <= now {
		at := g.nextPass
		over := func(r *sizedRequest) bool {
			switch {
			case r.generated >= r.answer:
				r.outcome = sizedServed
			case at-r.arrived > timeout:
				r.outcome = sizedTimedOut
			default:
				return false
			}
			if !r.started {
				started(r)
			}
			ended(r)
			return true
		}
		g.running, g.waiting = slices.DeleteFunc(g.running, over), slices.DeleteFunc(g.waiting, over)
		slices.SortStableFunc(g.waiting, func(a, b *sizedRequest) int {
			switch {
			case a.deferred == b.deferred:
				return 0
			case a.deferred:
				return 1
			}
			return -1
		})
		n := min(c.Engine.Slots-len(g.running), len(g.waiting))
		for _, r := range g.waiting[:n] {
			r.started = true
			started(r)
		}
		g.running, g.waiting = append(g.running, g.waiting[:n]...), g.waiting[n:]
		g.nextPass = at + max(g.pass(c), simTickInterval)
	}
}

// pass generates one stride of tokens for each request whose prompt has been
// read, reads up to a chunk of prompts with each step, and returns the time of
// the pass.
func (g *sizedGroup) pass(c EngineCosts) time.Duration {
	writers, steps := 0, 1
	for _, r := range g.running {
		if r.unread == 0 {
			writers++
			r.generated += c.Engine.Stride
		}
	}
	if writers > 0 {
		steps = c.Engine.Stride
	}
	read := 0
	for _, r := range g.running {
		n := min(r.unread, steps*c.Engine.Chunk-read)
		r.unread -= n
		read += n
	}
	took := c.Engine.ReadTime(c.Model, read)
	if writers > 0 {
		took += time.Duration(steps) * c.Engine.StepTime(c.Model, writers)
	}
	return took
}

// fraction returns the fraction of the requests with an outcome.
func fraction(requests []*sizedRequest, outcome sizedOutcome) float64 {
	n := 0
	for _, r := range requests {
		if r.outcome == outcome {
			n++
		}
	}
	return float64(n) / float64(len(requests))
}

// Guards against accepting long answers that a full group generates too slowly to
// end within their time limit: they hold their slots until then and are not served,
// so that the largest requests are served far less often than the others. The
// bounds are those of the overload patterns above, and of the users' platform for
// the largest tenth of a class.
func TestLargestRequestsAreServedUnderOverload(t *testing.T) {
	long := sizedClass{share: 0.62, meanPrompt: 1420, promptSpread: 1, meanAnswer: 149, answerSpread: 0.89, longest: 371}
	short := sizedClass{share: 0.38, meanPrompt: 1960, promptSpread: 1, meanAnswer: 22, answerSpread: 0.9, longest: 252}
	for _, test := range []struct {
		name        string
		groups      int
		maxTimedOut float64
	}{
		{"below the capacity", 6, 0.02},
		{"slightly above the capacity", 4, 0.02},
		{"far above the capacity", 3, 1},
		{"twice the capacity", 2, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := sizedSimulation{groups: test.groups, entries: 69, slots: 48, duration: 60 * time.Second, rate: 78, classes: []sizedClass{long, short},
				objective: 400 * time.Millisecond, timeout: 8 * time.Second}
			for seed := range uint64(5) {
				requests := s.run(seed)
				ofClass := slices.DeleteFunc(slices.Clone(requests), func(r *sizedRequest) bool { return r.class != 0 })
				slices.SortStableFunc(ofClass, func(a, b *sizedRequest) int { return cmp.Compare(a.size(), b.size()) })
				served := func(rs []*sizedRequest) float64 { return fraction(rs, sizedServed) }
				require.GreaterOrEqual(t, served(ofClass[len(ofClass)*9/10:]), served(ofClass)/2, "seed %d", seed)
				require.LessOrEqual(t, fraction(requests, sizedTimedOut), test.maxTimedOut, "seed %d: accepted and then timed out", seed)
			}
		})
	}
}
