package cluster

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/quarantine"
)

// Guards against a request that crashes every upstream that runs it and is
// resent until none is left, and against harm to the requests beside it.
func TestCrashCausingRequest(t *testing.T) {
	t.Parallel()
	c := start(t, 1)
	limit := quarantine.MaxUpstreamsLost(len(c.IDs()))
	var engines []*fake.Engine
	for i := range limit + 3 {
		e := c.engine(fmt.Sprintf("e%02d", i), []string{"a", "b", "c"}[i%3])
		e.SetFaults(fake.Faults{CrashOn: "poison"})
		engines = append(engines, e)
	}
	for _, id := range c.IDs() {
		c.served(id)
	}
	const innocentTokens = 400
	var innocent sync.WaitGroup
	answers := make([]Answer, 14)
	for i := range answers {
		innocent.Go(func() {
			entry := c.IDs()[i%len(c.IDs())]
			answers[i] = c.paying.Stream(context.Background(), c.CallerURL(entry), "rug-model", fmt.Sprint("good", i), innocentTokens)
		})
	}
	c.eventually("the innocent streams", func() bool {
		running := 0
		for _, e := range engines {
			running += e.Running()
		}
		return running == len(answers)
	})
	started := time.Now()
	for _, id := range c.IDs() {
		var last Answer
		tries := 0
		c.eventually("the refusal through "+id, func() bool {
			last = c.paying.Stream(context.Background(), c.CallerURL(id), "rug-model", "poison pill", 5)
			require.False(t, last.Whole)
			tries++
			return strings.Contains(last.Body, fmt.Sprintf("%q", fault.Quarantined))
		})
		t.Logf("refused through %s after %d tries, %s after the first", id, tries, time.Since(started).Round(time.Millisecond))
		// The refused request may itself have crashed an upstream before. One
		// that is sent now has not run.
		last = c.paying.Stream(t.Context(), c.CallerURL(id), "rug-model", "poison pill", 5)
		require.Contains(t, last.Body, fmt.Sprintf("%q", fault.Quarantined))
		require.Equal(t, fault.NotRun, last.Outcome)
	}
	lost := 0
	for _, e := range engines {
		if e.Dead() {
			lost++
		}
	}
	t.Logf("%d of %d engines lost, at most %d allowed", lost, len(engines), limit)
	require.LessOrEqual(t, lost, limit)
	require.Positive(t, lost)
	innocent.Wait()
	for i, a := range answers {
		require.True(t, a.Whole, "%d: %v %s", i, a.Err, a.Body)
		require.Equal(t, fake.Answer(fmt.Sprint("good", i), innocentTokens), a.Content)
	}
}

// Guards against paying callers who wait behind free streams that fill every
// engine, and against free streams that are lost when they yield.
func TestPayingBeforeFree(t *testing.T) {
	t.Parallel()
	tree := strings.Replace(treeFor(1), `"groupSize"`, `"maxQueueMs": 90000, "groupSize"`, 1)
	c := startLayout(t, Today(tree))
	const slots, freeStreams, payingStreams = 4, 14, 4
	var engines []*fake.Engine
	for _, domain := range []string{"a", "b"} {
		cfg := fake.EngineConfig{TokenDelay: 2 * time.Millisecond}
		cfg.ID, cfg.FailureDomain, cfg.FabricDomain, cfg.Accelerators = "e"+domain, domain, domain+"-f", 1
		cfg.Services, cfg.MaxConcurrent = []string{"rug-model"}, slots
		cfg.Models = []membership.Model{{Name: "rug-model"}}
		e, err := c.AddEngine(cfg)
		require.NoError(t, err)
		engines = append(engines, e)
	}
	for _, id := range c.IDs() {
		c.served(id)
	}
	const freeTokens, payingTokens = 3000, 20
	var free sync.WaitGroup
	var mu sync.Mutex
	ended := 0
	answers := make([]Answer, freeStreams)
	for i := range answers {
		free.Go(func() {
			entry := c.IDs()[i%len(c.IDs())]
			answers[i] = c.free.Stream(context.Background(), c.CallerURL(entry), "rug-model", fmt.Sprint("free", i), freeTokens)
			mu.Lock()
			defer mu.Unlock()
			ended++
		})
	}
	c.eventually("full engines", func() bool {
		return engines[0].Running() == slots && engines[1].Running() == slots
	})
	// On a busy machine some free streams end before both engines are full.
	mu.Lock()
	earlier := ended
	mu.Unlock()
	var paying sync.WaitGroup
	paid := make([]Answer, payingStreams)
	for i := range paid {
		paying.Go(func() {
			entry := c.IDs()[2*i%len(c.IDs())]
			paid[i] = c.paying.Stream(context.Background(), c.CallerURL(entry), "rug-model", fmt.Sprint("paid", i), payingTokens)
		})
	}
	paying.Wait()
	mu.Lock()
	before := ended
	mu.Unlock()
	for i, a := range paid {
		require.True(t, a.Whole, "%v %s", a.Err, a.Body)
		require.Equal(t, http.StatusOK, a.Status)
		require.Equal(t, fake.Answer(fmt.Sprint("paid", i), payingTokens), a.Content)
		t.Logf("paying stream %d: first byte after %s", i, a.FirstByte.Round(time.Millisecond))
	}
	require.Equal(t, earlier, before, "paying streams waited for free ones to end")
	free.Wait()
	for i, a := range answers {
		require.True(t, a.Whole, "%d: %v %s", i, a.Err, a.Body)
		require.Equal(t, fake.Answer(fmt.Sprint("free", i), freeTokens), a.Content)
	}
}
