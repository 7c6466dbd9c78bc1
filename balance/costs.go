package balance

import (
	"math"
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
)

// EngineCosts estimates times for the replica groups of one model.
type EngineCosts struct {
	Engine *enginemodel.Engine
	Model  *enginemodel.Model
	// BaselineLatency is the measured time to the first event of requests that
	// were not queued, or zero if there is no measurement yet.
	BaselineLatency time.Duration
	// Traffic describes the requests for the model.
	Traffic TrafficSummary
}

// minUsableSlots is the fraction of the slots of a group that are used even if long
// answers then take too long. With fewer requests in a batch a group generates far
// fewer tokens.
const minUsableSlots = 0.5

// UsableSlots returns the number of requests that a group may run so that long
// answers end within their limits. Above it, they would hold their slots until the
// limit and not be served.
func (e EngineCosts) UsableSlots() int {
	slots := e.Engine.Slots
	if e.Traffic.MaxTokenTime <= 0 {
		return slots
	}
	maxPassTime := time.Duration(max(e.Engine.Stride, 1)) * e.Traffic.MaxTokenTime
	least := int(math.Ceil(minUsableSlots * float64(slots)))
	for slots > least && e.passTime(slots) > maxPassTime {
		slots--
	}
	return slots
}

// meanTokens returns the mean sizes of the requests for the model, or those of all
// requests of the service while they are not known.
func (e EngineCosts) meanTokens() (prompt, answer int) {
	if e.Traffic.MeanAnswerTokens > 0 {
		return e.Traffic.MeanPromptTokens, e.Traffic.MeanAnswerTokens
	}
	return e.Engine.MeanPromptTokens, e.Engine.MeanAnswerTokens
}

// passTime returns the mean time of a pass of a group that runs the given number of
// requests.
func (e EngineCosts) passTime(running int) time.Duration {
	prompt, answer := e.meanTokens()
	return e.Engine.SteadyPassTime(e.Model, running, prompt, answer)
}

// generationTime returns the time to generate an answer in a group that runs the
// given number of requests.
func (e EngineCosts) generationTime(running, answer int) time.Duration {
	passes := float64(answer) / float64(max(e.Engine.Stride, 1))
	return time.Duration(passes * float64(e.passTime(running)))
}

// Occupancy returns the mean time that a request holds a slot of a group that runs
// the given number of requests.
func (e EngineCosts) Occupancy(running int) time.Duration {
	_, answer := e.meanTokens()
	return e.generationTime(running, answer)
}

// Wait implements Costs. Requests that exceed the slots start when a slot
// becomes free.
func (e EngineCosts) Wait(c *Candidate, others float64) time.Duration {
	excess := others + 1 - float64(c.Slots)
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / float64(max(c.Slots, 1)) * float64(e.Occupancy(c.Slots)) * max(c.SlowdownFactor, 1))
}

// passesToFirstEvent is the number of engine passes until the first event of a
// request that is not queued: the pass in progress when the request arrives,
// and the first pass of the request itself.
const passesToFirstEvent = 2

// Answer implements Costs. The time of a pass grows with the number of running
// requests. Prompts are read in order of arrival, so that the queued tokens of
// earlier requests add to the time.
func (e EngineCosts) Answer(c *Candidate, r *Request) time.Duration {
	baseTime := e.BaselineLatency
	if baseTime == 0 {
		baseTime = passesToFirstEvent * e.Engine.PassTime(e.Model, c.Slots)
	}
	running := min(int(c.Running), c.Slots)
	loadDelta := passesToFirstEvent * (e.Engine.PassTime(e.Model, running) - e.Engine.PassTime(e.Model, c.Slots/2))
	prompt := float64(r.PromptTokens-e.Engine.MeanPromptTokens) + c.QueuedPromptTokens
	answer := baseTime + loadDelta + time.Duration(prompt/max(e.Engine.ReadRate, 1)*float64(time.Second)*e.Model.TimeFactor)
	return time.Duration(float64(answer) * max(c.SlowdownFactor, 1))
}

// Completion implements Costs. The candidate is assumed to be full, since others
// may be sent to it until the answer ends.
func (e EngineCosts) Completion(c *Candidate, r *Request) time.Duration {
	answer := r.AnswerTokens
	if answer <= 0 {
		_, answer = e.meanTokens()
	}
	return e.Answer(c, r) + time.Duration(float64(e.generationTime(c.Slots, answer))*max(c.SlowdownFactor, 1))
}

// PlainCosts estimates times for services without a model engine.
type PlainCosts struct {
	// ServiceTime is the typical time from the start of a request to its answer.
	ServiceTime time.Duration
}

// Wait implements Costs.
func (p PlainCosts) Wait(c *Candidate, others float64) time.Duration {
	excess := others + 1 - float64(c.Slots)
	if excess <= 0 {
		// An upstream with fewer requests answers slightly faster.
		return time.Duration(others / float64(max(c.Slots, 1)) * float64(p.ServiceTime) / 4)
	}
	return time.Duration(excess / float64(max(c.Slots, 1)) * float64(p.ServiceTime))
}

// Answer implements Costs.
func (p PlainCosts) Answer(*Candidate, *Request) time.Duration { return p.ServiceTime }

// Completion implements Costs.
func (p PlainCosts) Completion(*Candidate, *Request) time.Duration { return p.ServiceTime }
