// Package balance chooses the upstream of a request from estimates of what
// each one runs, and decides whether a request can still be answered in time.
// For model engines the estimates are times by the engines' step model. It
// reads no clock; random numbers come from the caller.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
)

// Candidate is an upstream, or a replica group behind its head.
type Candidate struct {
	// Running is the estimated number of requests there, waiting ones included.
	Running float64
	Slots   int
	// Local candidates are in the entry's failure domain.
	Local bool
	// Avoided candidates have failed lately and are used only when no other is
	// left.
	Avoided bool
	// Excluded candidates were tried for this request.
	Excluded bool
	// Slowness multiplies the expected times; 1 is the engine's usual pace.
	Slowness float64
}

// Request describes what is to be placed.
type Request struct {
	PromptTokens, AnswerTokens int
	// Remaining is the time until the request is given up.
	Remaining time.Duration
	// Objective is the time to the first event, or to the whole answer.
	Objective time.Duration
	// Attempt counts from 1. Later attempts go on with work that was begun, so
	// they are admitted wherever they can end in time.
	Attempt int
}

// Decision is the choice for a request.
type Decision struct {
	// Index is the chosen candidate, -1 when the request is refused.
	Index int
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
	// remoteCost is the load, as a part of the slots, that a local candidate
	// may have above a remote one: traffic between failure domains is charged,
	// and adds its latency.
	remoteCost = 0.08
	// minRetryAfter keeps refused callers from returning before the state that
	// refused them can have changed: the lag of the load reports.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is for services without any upstream: the time in which a
	// group that lost a member is formed again.
	maxRetryAfter = 2 * time.Second
)

// Choose picks the less loaded of two candidates drawn at random, weighted
// towards the entry's failure domain. Two draws keep entries with lagging
// reports from all choosing the same candidate.
func Choose(random *rand.Rand, costs Costs, r Request, candidates []Candidate) Decision {
	usable := usableOf(candidates)
	if len(usable) == 0 {
		return Decision{Index: -1, RetryAfter: maxRetryAfter, Reason: ReasonNoUpstream}
	}
	first := usable[random.IntN(len(usable))]
	second := usable[random.IntN(len(usable))]
	best := better(candidates, first, second)
	if wait := costs.Wait(&candidates[best]); wait > costs.Allowed(&r) {
		// Neither has room; look at all before a refusal.
		for _, i := range usable {
			best = better(candidates, best, i)
		}
	}
	wait := costs.Wait(&candidates[best])
	if allowed := costs.Allowed(&r); wait > allowed {
		return Decision{Index: -1, Wait: wait, RetryAfter: min(max(wait-allowed, minRetryAfter), maxRetryAfter), Reason: ReasonFull}
	}
	return Decision{Index: best, Wait: wait}
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

func better(candidates []Candidate, a, b int) int {
	if score(&candidates[b]) < score(&candidates[a]) {
		return b
	}
	return a
}

// score is the load as a part of the slots; lower is better.
func score(c *Candidate) float64 {
	s := (c.Running + 1) / float64(max(c.Slots, 1)) * max(c.Slowness, 1)
	if !c.Local {
		s += remoteCost
	}
	return s
}

// Costs estimates times at a service.
type Costs interface {
	// Wait is the time until a new request begins to run.
	Wait(c *Candidate) time.Duration
	// Allowed is the longest wait with which a request is admitted.
	Allowed(r *Request) time.Duration
}

// EngineCosts estimates times at replica groups of one model.
type EngineCosts struct {
	Engine *enginemodel.Engine
	Model  *enginemodel.Model
}

// Wait implements Costs: requests beyond the slots begin as slots are freed.
func (e EngineCosts) Wait(c *Candidate) time.Duration {
	over := c.Running + 1 - float64(c.Slots)
	if over <= 0 {
		return 0
	}
	occupancy := e.Engine.Occupancy(e.Model, e.Engine.UsualPrompt, e.Engine.UsualAnswer)
	return time.Duration(over / float64(max(c.Slots, 1)) * float64(occupancy) * max(c.Slowness, 1))
}

const (
	// objectivePart is the part of the objective that a new request may wait in
	// an engine's queue; the rest is for its prompt and its first pass.
	objectivePart = 0.6
	// resumePart is the part of the remaining time that a later attempt may
	// wait.
	resumePart = 0.3
)

// Allowed implements Costs.
func (e EngineCosts) Allowed(r *Request) time.Duration {
	if r.Attempt > 1 {
		return time.Duration(resumePart * float64(r.Remaining))
	}
	return time.Duration(objectivePart * float64(r.Objective))
}

// PlainCosts estimates times at a plain service.
type PlainCosts struct {
	// ServiceTime is the usual time of an answer.
	ServiceTime time.Duration
}

// Wait implements Costs.
func (p PlainCosts) Wait(c *Candidate) time.Duration {
	over := c.Running + 1 - float64(c.Slots)
	if over <= 0 {
		return 0
	}
	return time.Duration(over / float64(max(c.Slots, 1)) * float64(p.ServiceTime))
}

// Allowed implements Costs: an answer after the objective is worth less, one
// after the deadline nothing.
func (p PlainCosts) Allowed(r *Request) time.Duration {
	return max(r.Remaining/2-p.ServiceTime, 0)
}
