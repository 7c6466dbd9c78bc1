package routingload

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func smallOptions(seed uint64) Options {
	return Options{
		Seed: seed, Engines: 12, Warmup: 5 * time.Second, Duration: 15 * time.Second,
		Policies: []string{PolicyRouter, PolicyRandom},
	}
}

// Guards against results that differ between runs with the same seed, and
// against results that do not depend on the seed.
func TestRunIsDeterministic(t *testing.T) {
	encode := func(seed uint64) string {
		data, err := json.Marshal(Run(smallOptions(seed)))
		require.NoError(t, err)
		return string(data)
	}
	first := encode(1)
	require.Equal(t, first, encode(1))
	require.NotEqual(t, first, encode(2))
}

// Guards against a router that ignores cached prefixes or refuses requests, a
// quarantine that exceeds its bound or refuses harmless requests, and retries
// beyond their budget.
func TestRunKeepsBounds(t *testing.T) {
	r := Run(smallOptions(3))
	require.Greater(t, r.Policies[0].HitRate, r.Policies[1].HitRate)
	require.Zero(t, r.Policies[0].Refused)
	for _, with := range r.Crashes[1:] {
		require.Less(t, with.UpstreamsLost, r.Crashes[0].UpstreamsLost)
		require.LessOrEqual(t, with.MostLost, with.Bound)
		require.Zero(t, with.InnocentRefused)
	}
	for _, outage := range r.Outages {
		if outage.Budget {
			require.LessOrEqual(t, outage.Added, outage.Bound)
		}
	}
}

// Guards against an engine model that loses requests or exceeds its cache
// capacity.
func TestEngine(t *testing.T) {
	c := &clock{}
	e := newEngine("e", c)
	w := newWorkload(1, 1)
	done := 0
	for range 500 {
		r := w.nextRequest()
		r.done = func(first time.Duration) {
			require.Positive(t, first)
			done++
		}
		e.submit(r)
	}
	require.Equal(t, 500, e.load())
	c.runUntil(time.Hour)
	require.Equal(t, 500, done)
	require.Zero(t, e.load())
	require.Equal(t, cacheCapacityBlocks, e.lru.Len())
	require.Len(t, e.cache, cacheCapacityBlocks)
}
