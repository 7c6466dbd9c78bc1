// Package enginemodel estimates the processing times of model engines. An
// engine processes its batch in passes. Each pass generates Stride tokens for
// every running request and reads one chunk of the queued prompts.
package enginemodel

import "time"

// Model is one of the models that a service's engines can run.
type Model struct {
	Name string
	// GroupSize is the number of engines that run one copy together.
	GroupSize int
	// TimeFactor is a factor for all processing times of the model.
	TimeFactor float64
	// DemandShare is the fraction of the accelerators that the model needs at the
	// usual load.
	DemandShare float64
	// LoadTime is the time to load the weights from the weight store; WarmTime is
	// the time to load them from the host.
	LoadTime, WarmTime time.Duration
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the number of requests that a copy runs concurrently.
	Slots int
	// Stride is the number of tokens per pass for each running request.
	Stride int
	// Chunk is the number of prompt tokens that a pass reads at most.
	Chunk  int
	Models []Model
	// Step is the base time of one token step. PerSequence is added for each
	// running request and PerContext for each 1,000 tokens of its context.
	Step, PerSequence, PerContext time.Duration
	// ReadRate is the prefill rate in prompt tokens per second.
	ReadRate float64
	// PairTime is the attention time for a million pairs of a prompt token and an
	// earlier token.
	PairTime time.Duration
	// MeanPromptTokens and MeanAnswerTokens are means over all requests.
	MeanPromptTokens, MeanAnswerTokens int
	// LoadsPerSecond and MaxConcurrentLoads limit the rate and the concurrency of
	// loads from the weight store.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// StagedModels is the number of models that a host can hold.
	StagedModels int
	// FormTime is the time for a formed group to open.
	FormTime time.Duration
	// ReportLag is the delay of the engines' load reports.
	ReportLag time.Duration
}

// Model returns a model by name, or nil if the engines do not run it.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// StepTime returns the time of one token step for the given number of running
// requests of mean length.
func (e *Engine) StepTime(m *Model, running int) time.Duration {
	context := float64(e.MeanPromptTokens+e.MeanAnswerTokens/2) / 1000
	step := float64(e.Step) + float64(running)*(float64(e.PerSequence)+context*float64(e.PerContext))
	return time.Duration(step * m.TimeFactor)
}

// ReadTime returns the prefill time of a prompt on an otherwise idle engine.
func (e *Engine) ReadTime(m *Model, prompt int) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	tokens := float64(prompt)
	read := tokens / e.ReadRate * float64(time.Second)
	pairs := tokens * tokens / 2 / 1e6 * float64(e.PairTime)
	return time.Duration((read + pairs) * m.TimeFactor)
}

// PassTime returns the time of one pass that generates tokens for the given
// number of requests and reads a full chunk of prompt tokens.
func (e *Engine) PassTime(m *Model, running int) time.Duration {
	return time.Duration(max(e.Stride, 1))*e.StepTime(m, running) + e.ReadTime(m, e.Chunk)
}

// Occupancy returns the time that a request with the given token counts holds a
// slot when all slots are in use.
func (e *Engine) Occupancy(m *Model, prompt, answer int) time.Duration {
	return e.ReadTime(m, prompt) + time.Duration(answer)*e.StepTime(m, e.Slots)
}

// ServiceTime returns the share of a copy's time that a request with the given
// token counts takes when all slots are in use.
func (e *Engine) ServiceTime(m *Model, prompt, answer int) time.Duration {
	generate := time.Duration(float64(answer) * float64(e.StepTime(m, e.Slots)) / float64(max(e.Slots, 1)))
	return e.ReadTime(m, prompt) + generate
}
