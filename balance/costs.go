package balance

import (
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
}

// Wait implements Costs. Requests that exceed the slots start when a slot
// becomes free.
func (e EngineCosts) Wait(c *Candidate, others float64) time.Duration {
	excess := others + 1 - float64(c.Slots)
	if excess <= 0 {
		return 0
	}
	occupancy := e.Engine.Occupancy(e.Model, e.Engine.MeanPromptTokens, e.Engine.MeanAnswerTokens)
	return time.Duration(excess / float64(max(c.Slots, 1)) * float64(occupancy) * max(c.SlowdownFactor, 1))
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
