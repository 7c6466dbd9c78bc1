// Package balance selects an upstream for each request from load estimates and
// rejects requests that cannot be answered in time. For model engines, times
// are computed with the step model of package enginemodel. The package reads no
// clock; random numbers come from the caller.
package balance

import (
	"math/rand/v2"
	"time"
)

// Candidate is the estimated state of an upstream, or of a replica group, which
// receives its requests through its head.
type Candidate struct {
	// Running is the estimated number of requests, including queued ones.
	Running float64
	// EndedSinceMeasurement is the estimated number of requests that have ended
	// since Running was measured. New requests may have replaced them.
	EndedSinceMeasurement float64
	// Deferred is the part of Running that has a lower priority than timely
	// requests.
	Deferred float64
	// QueuedPromptTokens is the estimated number of prompt tokens waiting for
	// prefill.
	QueuedPromptTokens float64
	Slots              int
	// SlowdownFactor multiplies the expected times; 0 and 1 both mean normal speed.
	SlowdownFactor float64
	// Local is set if the candidate is in the failure domain of the entry.
	Local bool
	// Avoided is set after recent failures. Such a candidate is used only when
	// no other one is left.
	Avoided bool
	// Excluded is set if this request has already been sent to the candidate.
	Excluded bool
	// LimitedFor is the time until this entry may send the next request to a
	// candidate that has named a limit, zero if it may now.
	LimitedFor time.Duration
}

// Request describes the request to be sent.
type Request struct {
	PromptTokens, AnswerTokens int
	// Remaining is the time until the request times out.
	Remaining time.Duration
	// Objective is the time left until the latency objective, which applies to
	// the first event or to the whole answer. It is negative if the objective
	// has already been missed.
	Objective time.Duration
	// Ranked is set if a group is reserved for long answers. AnswerRank is then the
	// fraction of the model's work that is for shorter answers, and the candidates
	// have the same order at all entries.
	Ranked     bool
	AnswerRank float64
	// PartlyRun is set if another upstream has run part of the request. Delivering
	// is set if the caller has received part of the answer and waits for the rest.
	PartlyRun, Delivering bool
}

// Decision is the result of Choose.
type Decision struct {
	// Index is the selected candidate, or -1 if the request is refused.
	Index int
	// Deferred is set if the request will miss its objective and must run at a
	// lower priority than timely requests.
	Deferred bool
	// Wait is the expected queueing time. For a refused request, Answer is the
	// expected time from the end of the queue to the first event or the whole
	// answer, and Objective is that of the request.
	Wait, Answer, Objective time.Duration
	// RetryAfter is the delay after which the caller should retry a refused
	// request.
	RetryAfter time.Duration
	// Reason is the reason for a refusal.
	Reason string
}

// Reasons for refusing a request.
const (
	ReasonNoUpstream = "no upstream serves this"
	ReasonFull       = "all upstreams are full"
	ReasonLimited    = "all upstreams are at the limits that they have named, or have asked for a pause"
)

const (
	// remotePenalty is added to the expected time of a remote candidate. Traffic
	// between failure domains is charged and has a higher latency.
	remotePenalty = 8 * time.Millisecond
	// maxSlackFraction is the fraction of a timely request's slack that may be
	// spent in a queue. The rest is a reserve for requests that other entries
	// sent since the last report, which the estimates do not include. Under
	// sustained overload, the queueing time stays at this bound.
	maxSlackFraction = 0.25
	// maxDeferredFraction bounds the deferred requests of a candidate as a
	// fraction of its slots. Without a bound, deferred requests would queue until
	// they time out under sustained overload.
	maxDeferredFraction = 0.25
	// sampleSize is the number of candidates drawn at random. The fastest of them
	// is used if it answers in time. If every entry used the fastest of all
	// candidates, entries with the same information would all select the same
	// one; a larger sample comes close to that.
	sampleSize = 2
	// endedWeight is the fraction of Candidate.EndedSinceMeasurement that is
	// counted as running. If several entries send to the same free slot at the
	// same time, all requests but one have to wait. A higher fraction leaves slots
	// empty at loads below the capacity.
	endedWeight = 0.25
	// maxLateWaitFraction is the fraction of the remaining time that a deferred
	// request may spend in a queue.
	maxLateWaitFraction = 0.35
	// minRetryAfter is the delay of the load reports. A caller that retries
	// earlier would be refused because of the same state.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter applies to services without an upstream. It is the time that
	// a group needs to form again after the loss of a member.
	maxRetryAfter = 2 * time.Second
)

// Costs estimates the queueing and processing times of a service.
type Costs interface {
	// Wait returns the queueing time of a new request if the candidate already
	// has the given number of other requests.
	Wait(c *Candidate, others float64) time.Duration
	// Answer returns the time from the start of processing to the first event, or
	// to the whole answer.
	Answer(c *Candidate, r *Request) time.Duration
}

// Choose selects a candidate for a request by its expected time to the answer.
// A request that no candidate can answer in time is deferred, or refused if it
// would have to wait too long (see chooseLate). Choose increases Running of the
// candidates.
func Choose(random *rand.Rand, costs Costs, r Request, candidates []Candidate) Decision {
	for i := range candidates {
		candidates[i].Running += endedWeight * candidates[i].EndedSinceMeasurement
	}
	usable := eligibleCandidates(candidates)
	if len(usable) == 0 {
		if wait, ok := shortestLimit(candidates); ok {
			return Decision{Index: -1, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter), Reason: ReasonLimited}
		}
		return Decision{Index: -1, RetryAfter: maxRetryAfter, Reason: ReasonNoUpstream}
	}
	if r.Ranked && !r.PartlyRun {
		usable = reserve(r.AnswerRank, usable, candidates)
	}
	if r.Objective > 0 {
		if best, wait, ok := chooseTimely(random, costs, &r, usable, candidates); ok {
			return Decision{Index: best, Wait: wait}
		}
	}
	best, wait, ok := chooseLate(costs, &r, usable, candidates)
	if !ok {
		return Decision{Index: -1, Wait: wait, Answer: costs.Answer(&candidates[best], &r), Objective: r.Objective,
			RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter), Reason: ReasonFull}
	}
	// The caller of a broken stream leaves after a pause. Behind all new requests the
	// rest of its answer would come too late, and the part that was generated would
	// be lost.
	return Decision{Index: best, Deferred: !r.Delivering, Wait: wait}
}

// chooseLate selects a candidate for a request that will miss its objective. A
// new request is accepted only if it does not have to wait, because in a queue
// it would be behind all timely requests. A retry whose objective has already
// passed may wait for a fraction of its remaining time if the candidate has few
// deferred requests. A request that was partly run by another upstream may wait
// until it times out; one of which the caller has a part waits behind timely
// requests only.
func chooseLate(costs Costs, r *Request, usable []int, candidates []Candidate) (int, time.Duration, bool) {
	ahead := func(c *Candidate) float64 {
		if r.Delivering {
			return c.Running - c.Deferred
		}
		return c.Running
	}
	expectedTime := func(c *Candidate) time.Duration { return costs.Wait(c, ahead(c)) + costs.Answer(c, r) }
	best := lowestCost(usable, candidates, expectedTime)
	c := &candidates[best]
	wait := costs.Wait(c, ahead(c))
	if wait == 0 {
		return best, wait, true
	}
	if r.PartlyRun {
		// Refusing the request would break off an answer that has already started.
		return best, wait, wait <= r.Remaining
	}
	mayQueue := r.Objective <= 0 && c.Deferred < maxDeferredFraction*float64(c.Slots)
	return best, wait, mayQueue && wait <= time.Duration(maxLateWaitFraction*float64(r.Remaining))
}

// chooseTimely selects a candidate that can meet the objective or has a free
// slot: the fastest one of a random sample if it qualifies, otherwise the
// fastest one of all.
func chooseTimely(random *rand.Rand, costs Costs, r *Request, usable []int, candidates []Candidate) (int, time.Duration, bool) {
	expectedTime := func(c *Candidate) time.Duration { return costs.Wait(c, c.Running-c.Deferred) + costs.Answer(c, r) }
	// The shuffle draws the sample and breaks ties at random, so that entries
	// without load information do not all start with the same candidate.
	random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	var best int
	var wait time.Duration
	for _, sample := range [][]int{usable[:min(sampleSize, len(usable))], usable} {
		best = lowestCost(sample, candidates, expectedTime)
		c := &candidates[best]
		wait = costs.Wait(c, c.Running-c.Deferred)
		slack := r.Objective - costs.Answer(c, r)
		if wait <= time.Duration(maxSlackFraction*float64(max(slack, 0))) {
			return best, wait, true
		}
	}
	return best, wait, false
}

// returnSpread is the longest time over which the callers that wait for the same
// moment are spread.
const returnSpread = time.Second

// SpreadReturn returns a time to wait that lies at random between wait and twice that,
// at most returnSpread later. Callers that were refused during a pause would otherwise
// all return at its end.
func SpreadReturn(random *rand.Rand, wait time.Duration) time.Duration {
	spread := min(wait, returnSpread)
	if spread <= 0 {
		return wait
	}
	return wait + time.Duration(random.Int64N(int64(spread)))
}

// shortestLimit returns the time until one of the candidates accepts a request
// again, or false if none is held back by its limit.
func shortestLimit(candidates []Candidate) (time.Duration, bool) {
	var shortest time.Duration
	for _, c := range candidates {
		if !c.Excluded && c.LimitedFor > 0 && (shortest == 0 || c.LimitedFor < shortest) {
			shortest = c.LimitedFor
		}
	}
	return shortest, shortest > 0
}

// eligibleCandidates returns the indexes of all candidates that are neither
// excluded nor at their limit. Avoided candidates are included only if there are
// no others.
func eligibleCandidates(candidates []Candidate) []int {
	var good, avoided []int
	for i := range candidates {
		switch c := &candidates[i]; {
		case c.Excluded, c.LimitedFor > 0:
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

// lowestCost returns the index of the candidate with the lowest cost.
func lowestCost(indexes []int, candidates []Candidate, cost func(*Candidate) time.Duration) int {
	best := indexes[0]
	bestCost := costWithLocality(&candidates[best], cost)
	for _, i := range indexes[1:] {
		if c := costWithLocality(&candidates[i], cost); c < bestCost {
			best, bestCost = i, c
		}
	}
	return best
}

// costWithLocality returns the cost of a candidate, including the penalty for
// remote ones.
func costWithLocality(c *Candidate, cost func(*Candidate) time.Duration) time.Duration {
	if c.Local {
		return cost(c)
	}
	return cost(c) + remotePenalty
}
