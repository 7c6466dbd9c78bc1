package enginemodel

import (
	"errors"
	"fmt"
	"math"
)

// Validate returns an error for values with which no group can be formed or no time
// computed. A group of no engines, for example, could be formed without end.
func (e *Engine) Validate() error {
	if min(e.Slots, e.Stride, e.Chunk, e.MeanPromptTokens, e.MeanAnswerTokens, e.MaxConcurrentLoads, e.StagedModels) < 0 {
		return errors.New("a number is negative")
	}
	if min(e.Step, e.PerSequence, e.PerContext, e.PairTime, e.FormTime, e.ReportLag) < 0 {
		return errors.New("a time is negative")
	}
	if !isAmount(e.ReadRate) || !isAmount(e.LoadsPerSecond) {
		return errors.New("a rate is negative or not a number")
	}
	names := map[string]bool{}
	for i := range e.Models {
		m := &e.Models[i]
		if names[m.Name] {
			return fmt.Errorf("model %q is listed twice", m.Name)
		}
		names[m.Name] = true
		if err := m.validate(); err != nil {
			return fmt.Errorf("model %q: %w", m.Name, err)
		}
	}
	return nil
}

func (m *Model) validate() error {
	switch {
	case m.Name == "":
		return errors.New("no name")
	case m.GroupSize < 1:
		return fmt.Errorf("a group of %d engines cannot serve", m.GroupSize)
	case m.LoadTime < 0 || m.WarmTime < 0:
		return errors.New("a time is negative")
	case !isAmount(m.TimeFactor) || !isAmount(m.DemandShare):
		return errors.New("a factor is negative or not a number")
	}
	return nil
}

// isAmount reports whether a value is a finite number that is not negative.
func isAmount(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }
