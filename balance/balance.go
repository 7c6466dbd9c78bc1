// Package balance chooses the upstream of a request from estimates of what
// each one runs, and decides whether a request can still be answered in time.
// For model engines the estimates are times by the engines' step model. It
// reads no clock; random numbers come from the caller.
package balance

import (
	"math/rand/v2"
	"time"
)

// Candidate is an upstream, or a replica group behind its head.
type Candidate struct {
	// Running is the estimated number of requests there, waiting ones included.
	Running float64
	// Uncertain is the flow of requests since Running was measured.
	Uncertain float64
	// Deferred is the part of Running that gives way to timely requests.
	Deferred float64
	// Unread is the estimated number of prompt tokens that wait to be read.
	Unread float64
	Slots  int
	// Slowness multiplies the expected times; 0 and 1 stand for the usual pace.
	Slowness float64
	// Local candidates are in the entry's failure domain.
	Local bool
	// Avoided candidates have failed lately and are used only when no other is
	// left.
	Avoided bool
	// Excluded candidates were tried for this request.
	Excluded bool
}

// Request describes what is to be placed.
type Request struct {
	PromptTokens, AnswerTokens int
	// Remaining is the time until the request is given up.
	Remaining time.Duration
	// Objective is the time that is left to the first event, or to the whole
	// answer, for the request to be timely. It is negative for one that is late
	// already.
	Objective time.Duration
	// Begun says that the request has run in part elsewhere.
	Begun bool
}

// Decision is the choice for a request.
type Decision struct {
	// Index is the chosen candidate, -1 when the request is refused.
	Index int
	// Deferred says that the request is too late to be timely and must give way
	// to those that are not.
	Deferred bool
	// Wait is the expected time until the request begins to run.
	Wait time.Duration
	// RetryAfter is when a refused request would be admitted.
	RetryAfter time.Duration
	// Reason says why a request is refused.
	Reason string
}

// Reasons of refusal.
const (
	ReasonNoUpstream = "no upstream serves this"
	ReasonFull       = "all upstreams are full"
)

const (
	// remoteCost is the time that a local candidate may be behind a remote one:
	// traffic between failure domains is charged, and adds its latency.
	remoteCost = 8 * time.Millisecond
	// slackPart is the part of the slack of a timely request that may be spent
	// on waiting. Under lasting overload the wait stays at this bound, and
	// estimates miss what other entries sent since the last report.
	slackPart = 0.25
	// deferredPart bounds the deferred requests at a candidate, as a part of its
	// slots: under lasting overload they would wait until they are given up.
	deferredPart = 0.25
	// sampleSize is the number of candidates drawn at random, of which the
	// soonest is taken when it answers in time. Entries that know the same would
	// all send to the soonest of all. Two gave the fewest late requests in the
	// simulation of 69 entries.
	sampleSize = 2
	// caution is the part of the flow of requests since a report that counts as
	// still there: of requests that entries send to a freed slot at the same
	// time, all but one wait. In the simulation a quarter brings lasting overload
	// over its bound; half of the flow made days below the capacity worse.
	caution = 0.25
	// latePart is the part of the remaining time that a deferred request may
	// wait.
	latePart = 0.35
	// minRetryAfter keeps refused callers from returning before the state that
	// refused them can have changed: the lag of the load reports.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is for services without any upstream: the time in which a
	// group that lost a member is formed again.
	maxRetryAfter = 2 * time.Second
)

// Costs estimates times at a service.
type Costs interface {
	// Wait is the time until a new request begins to run beside a number of
	// others.
	Wait(c *Candidate, others float64) time.Duration
	// Answer is the time from then to the first event, or to the whole answer.
	Answer(c *Candidate, r *Request) time.Duration
}

// Choose picks the candidate with the soonest answer. A request that none can
// answer in time is deferred, and refused when it could not be answered within a
// part of its remaining time.
func Choose(random *rand.Rand, costs Costs, r Request, candidates []Candidate) Decision {
	for i := range candidates {
		candidates[i].Running += caution * candidates[i].Uncertain
	}
	usable := usableOf(candidates)
	if len(usable) == 0 {
		return Decision{Index: -1, RetryAfter: maxRetryAfter, Reason: ReasonNoUpstream}
	}
	if r.Objective > 0 {
		if best, wait, ok := chooseTimely(random, costs, &r, usable, candidates); ok {
			return Decision{Index: best, Wait: wait}
		}
	}
	best, wait, ok := chooseLate(costs, &r, usable, candidates)
	if !ok {
		return Decision{Index: -1, Wait: wait, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter), Reason: ReasonFull}
	}
	return Decision{Index: best, Deferred: true, Wait: wait}
}

// chooseLate picks a candidate for a request that cannot be timely. A fresh one
// gets a free slot, or the time to return: in a queue it would wait behind all
// timely requests. One that has returned has no other chance and may wait for a
// part of its time, beside few others. One that has begun elsewhere may wait for
// as long as its caller does.
func chooseLate(costs Costs, r *Request, usable []int, candidates []Candidate) (int, time.Duration, bool) {
	late := func(c *Candidate) time.Duration { return costs.Wait(c, c.Running) + costs.Answer(c, r) }
	best := soonest(usable, candidates, late)
	wait := costs.Wait(&candidates[best], candidates[best].Running)
	c := &candidates[best]
	if wait == 0 {
		return best, wait, true
	}
	if r.Begun {
		// Its caller is lost otherwise.
		return best, wait, wait <= r.Remaining
	}
	lastChance := r.Objective <= 0 && c.Deferred < deferredPart*float64(c.Slots)
	return best, wait, lastChance && wait <= time.Duration(latePart*float64(r.Remaining))
}

// chooseTimely picks a candidate that answers within the objective or begins at
// once: the best of a few drawn at random, or else of all.
func chooseTimely(random *rand.Rand, costs Costs, r *Request, usable []int, candidates []Candidate) (int, time.Duration, bool) {
	timely := func(c *Candidate) time.Duration { return costs.Wait(c, c.Running-c.Deferred) + costs.Answer(c, r) }
	// Among equals the choice is random, so that entries which know nothing yet
	// do not all begin with the same candidate.
	random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	var best int
	var wait time.Duration
	for _, sample := range [][]int{usable[:min(sampleSize, len(usable))], usable} {
		best = soonest(sample, candidates, timely)
		c := &candidates[best]
		wait = costs.Wait(c, c.Running-c.Deferred)
		slack := r.Objective - costs.Answer(c, r)
		if wait <= time.Duration(slackPart*float64(max(slack, 0))) {
			return best, wait, true
		}
	}
	return best, wait, false
}

// usableOf returns the indexes of the candidates to choose from: those that
// were not tried, without the avoided ones while there are others.
func usableOf(candidates []Candidate) []int {
	var good, avoided []int
	for i := range candidates {
		switch c := &candidates[i]; {
		case c.Excluded:
		case c.Avoided:
			avoided = append(avoided, i)
		default:
			good = append(good, i)
		}
	}
	if len(good) > 0 {
		return good
	}
	return avoided
}

func soonest(indexes []int, candidates []Candidate, cost func(*Candidate) time.Duration) int {
	best := indexes[0]
	bestCost := placed(&candidates[best], cost)
	for _, i := range indexes[1:] {
		if c := placed(&candidates[i], cost); c < bestCost {
			best, bestCost = i, c
		}
	}
	return best
}

// placed adds the cost of a remote candidate.
func placed(c *Candidate, cost func(*Candidate) time.Duration) time.Duration {
	if c.Local {
		return cost(c)
	}
	return cost(c) + remoteCost
}
