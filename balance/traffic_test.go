package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// observed returns costs for a model whose requests have the given answers, the
// last one once in ten.
func observed(prompt, answer, longest int, limit time.Duration) EngineCosts {
	var traffic Traffic
	for i := range trafficSamples {
		if i%10 == 0 {
			traffic.Observe(prompt, longest, limit)
		} else {
			traffic.Observe(prompt, answer, limit)
		}
	}
	c := costs()
	c.Traffic = traffic.Summary()
	return c
}

// Guards against filling a group until its long answers take longer than their time
// limits, and against leaving slots empty where that helps no answer.
func TestUsableSlots(t *testing.T) {
	for _, test := range []struct {
		name            string
		prompt, longest int
		limit           time.Duration
		slots           int
	}{
		{"answers end in time at a full group", 1115, 400, 20 * time.Second, 26},
		{"long answers with time for a part of the slots", 1115, 400, 5200 * time.Millisecond, 24},
		{"the same with longer prompts, which are read meanwhile", 2000, 400, 5200 * time.Millisecond, 17},
		{"long answers that never end in time", 1115, 4000, 5 * time.Second, 13},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.slots, observed(test.prompt, 150, test.longest, test.limit).UsableSlots())
		})
	}
	require.Equal(t, 26, costs().UsableSlots(), "without requests")
}

// Guards against a decision that rests on a few requests.
func TestTrafficNeedsSamples(t *testing.T) {
	var traffic Traffic
	for range minTrafficSamples - 1 {
		traffic.Observe(1000, 5000, time.Second)
	}
	require.Zero(t, traffic.Summary())
	traffic.Observe(1000, 5000, time.Second)
	require.NotZero(t, traffic.Summary().MaxTokenTime)
	for range trafficSamples {
		traffic.Observe(500, 0, time.Second)
	}
	require.Equal(t, TrafficSummary{MeanPromptTokens: 500, MaxTokenTime: time.Duration(limitMargin * float64(time.Second))}, traffic.Summary(), "earlier requests are forgotten")
}
