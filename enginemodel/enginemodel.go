// Package enginemodel computes how long a model engine takes for its work. An
// engine processes its batch in passes; each pass writes Stride tokens for
// every running request and reads one chunk of the waiting prompts.
package enginemodel

import "time"

// Model is one of the models that a service's engines can run.
type Model struct {
	Name string
	// GroupSize is the number of engines that run one copy together.
	GroupSize int
	// Pace multiplies all times of a copy.
	Pace float64
	// WorkShare is the part of the accelerators that the model needs at the
	// usual load.
	WorkShare float64
	// LoadTime is the time to load the weights from the store, WarmTime that
	// from the host.
	LoadTime, WarmTime time.Duration
}

// Engine holds the step times of the engines of a service.
type Engine struct {
	// Slots is the number of requests that a copy runs at once.
	Slots  int
	Stride int
	Chunk  int
	Models []Model
	// Step is the time of one token step, PerSequence the addition for each
	// running request, PerContext that for each 1,000 tokens of its context.
	Step, PerSequence, PerContext time.Duration
	// ReadRate is in prompt tokens for each second.
	ReadRate float64
	// PairTime is the time for a million pairs of a prompt token and an
	// earlier one.
	PairTime time.Duration
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt, UsualAnswer int
	// LoadsPerSecond and LoadsAtOnce bound the use of the weight store.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// StagedModels is the number of models that a host keeps.
	StagedModels int
	FormTime     time.Duration
	ReportLag    time.Duration
}

// Model returns a model by name, nil when the engines cannot run it.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// StepTime is the time of one token step with a number of running requests of
// the usual length.
func (e *Engine) StepTime(m *Model, running int) time.Duration {
	context := float64(e.UsualPrompt+e.UsualAnswer/2) / 1000
	step := float64(e.Step) + float64(running)*(float64(e.PerSequence)+context*float64(e.PerContext))
	return time.Duration(step * m.Pace)
}

// ReadTime is the time to read a prompt without other work.
func (e *Engine) ReadTime(m *Model, prompt int) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	tokens := float64(prompt)
	read := tokens / e.ReadRate * float64(time.Second)
	pairs := tokens * tokens / 2 / 1e6 * float64(e.PairTime)
	return time.Duration((read + pairs) * m.Pace)
}

// PassTime is the time of one pass of writers beside a full chunk of reading.
func (e *Engine) PassTime(m *Model, running int) time.Duration {
	return time.Duration(max(e.Stride, 1))*e.StepTime(m, running) + e.ReadTime(m, e.Chunk)
}

// Occupancy is the time for which a request of a size holds a copy's slot when
// the copy is full.
func (e *Engine) Occupancy(m *Model, prompt, answer int) time.Duration {
	return e.ReadTime(m, prompt) + time.Duration(answer)*e.StepTime(m, e.Slots)
}

// Work is the share of a copy's time that a request of a size needs, for each
// second, at full batches.
func (e *Engine) Work(m *Model, prompt, answer int) time.Duration {
	write := time.Duration(float64(answer) * float64(e.StepTime(m, e.Slots)) / float64(max(e.Slots, 1)))
	return e.ReadTime(m, prompt) + write
}
