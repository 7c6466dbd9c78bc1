package balance

import (
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
)

// EngineCosts estimates times at replica groups of one model.
type EngineCosts struct {
	Engine *enginemodel.Engine
	Model  *enginemodel.Model
	// Usual is the measured time to the first event of requests that did not
	// wait; zero while none was measured.
	Usual time.Duration
}

// Wait implements Costs: requests beyond the slots begin as slots are freed.
func (e EngineCosts) Wait(c *Candidate, others float64) time.Duration {
	over := others + 1 - float64(c.Slots)
	if over <= 0 {
		return 0
	}
	occupancy := e.Engine.Occupancy(e.Model, e.Engine.UsualPrompt, e.Engine.UsualAnswer)
	return time.Duration(over / float64(max(c.Slots, 1)) * float64(occupancy) * max(c.Slowness, 1))
}

// usualPasses is the number of passes until the first event of a request that
// does not wait: the one under way when it arrives, and its own.
const usualPasses = 2

// Answer implements Costs. A fuller group takes longer for each pass, and
// prompts are read in the order of their arrival.
func (e EngineCosts) Answer(c *Candidate, r *Request) time.Duration {
	usual := e.Usual
	if usual == 0 {
		usual = usualPasses * e.Engine.PassTime(e.Model, c.Slots)
	}
	running := min(int(c.Running), c.Slots)
	fuller := usualPasses * (e.Engine.PassTime(e.Model, running) - e.Engine.PassTime(e.Model, c.Slots/2))
	prompt := float64(r.PromptTokens-e.Engine.UsualPrompt) + c.Unread
	answer := usual + fuller + time.Duration(prompt/max(e.Engine.ReadRate, 1)*float64(time.Second)*e.Model.Pace)
	return time.Duration(float64(answer) * max(c.Slowness, 1))
}

// PlainCosts estimates times at a plain service.
type PlainCosts struct {
	// ServiceTime is the usual time of an answer.
	ServiceTime time.Duration
}

// Wait implements Costs.
func (p PlainCosts) Wait(c *Candidate, others float64) time.Duration {
	over := others + 1 - float64(c.Slots)
	if over <= 0 {
		// Emptier upstreams answer a little sooner.
		return time.Duration(others / float64(max(c.Slots, 1)) * float64(p.ServiceTime) / 4)
	}
	return time.Duration(over / float64(max(c.Slots, 1)) * float64(p.ServiceTime))
}

// Answer implements Costs.
func (p PlainCosts) Answer(*Candidate, *Request) time.Duration { return p.ServiceTime }
