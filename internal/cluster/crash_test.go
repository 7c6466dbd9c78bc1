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

// addCrashingEngines starts engines that end when a prompt contains "poison", and
// waits until all entries serve.
func (c *testCluster) addCrashingEngines(prefix string, count int) []*fake.Engine {
	var engines []*fake.Engine
	for i := range count {
		e := c.addEngine(fmt.Sprintf("%s%02d", prefix, i), []string{"a", "b", "c"}[i%3])
		e.SetFaults(fake.Faults{CrashOn: "poison"})
		engines = append(engines, e)
	}
	for _, id := range c.IDs() {
		c.waitServed(id)
	}
	return engines
}

func countKilled(engines []*fake.Engine) int {
	killed := 0
	for _, e := range engines {
		if e.Killed() {
			killed++
		}
	}
	return killed
}

// Guards against a request that crashes each engine that runs it and is resent
// until no engine is left, and against losing other streams on these engines.
func TestCrashCausingRequest(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	limit := quarantine.MaxUpstreamsLost(len(c.IDs()))
	engines := c.addCrashingEngines("e", limit+3)
	const otherTokens = 400
	var otherStreams sync.WaitGroup
	responses := make([]Response, 14)
	for i := range responses {
		otherStreams.Go(func() {
			entry := c.IDs()[i%len(c.IDs())]
			responses[i] = c.paying.Stream(context.Background(), c.CallerURL(entry), "rug-model", fmt.Sprint("good", i), otherTokens)
		})
	}
	c.eventually("the other streams", func() bool {
		running := 0
		for _, e := range engines {
			running += e.Running()
		}
		return running == len(responses)
	})
	started := time.Now()
	for _, id := range c.IDs() {
		var last Response
		attempts := 0
		c.eventually("the rejection through "+id, func() bool {
			last = c.paying.Stream(context.Background(), c.CallerURL(id), "rug-model", "poison pill", 5)
			require.False(t, last.Complete)
			attempts++
			return strings.Contains(last.Body, fmt.Sprintf("%q", fault.Quarantined))
		})
		t.Logf("rejected through %s after %d attempts, %s after the first", id, attempts, time.Since(started).Round(time.Millisecond))
		// The rejected request may have crashed an engine before it was rejected.
		// The next one must be rejected without having run.
		last = c.paying.Stream(t.Context(), c.CallerURL(id), "rug-model", "poison pill", 5)
		require.Contains(t, last.Body, fmt.Sprintf("%q", fault.Quarantined))
		require.Equal(t, fault.NotRun, last.Outcome)
	}
	lost := countKilled(engines)
	t.Logf("%d of %d engines lost, at most %d allowed", lost, len(engines), limit)
	require.LessOrEqual(t, lost, limit)
	require.Positive(t, lost)
	otherStreams.Wait()
	for i, r := range responses {
		require.True(t, r.Complete, "%d: %v %s", i, r.Err, r.Body)
		require.Equal(t, fake.Answer(fmt.Sprint("good", i), otherTokens), r.Content)
	}
}

// Guards against a part of a prompt that crashes each engine, which quarantine of
// whole requests does not find: no two requests are alike.
func TestCrashCausingPromptPart(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	limit := quarantine.MaxUpstreamsLost(len(c.IDs()))
	engines := c.addCrashingEngines("p", limit+3)
	sent := 0
	stream := func(id, document string) Response {
		sent++
		return c.paying.StreamChat(context.Background(), c.CallerURL(id), "rug-model", []string{"you are helpful", document, fmt.Sprint("question ", sent)}, 5)
	}
	for _, id := range c.IDs() {
		// The first requests are quarantined themselves after they have crashed
		// engines. From the verdict on the part on, they do not run.
		c.eventually("the rejection through "+id, func() bool {
			r := stream(id, "poison document")
			require.False(t, r.Complete)
			return strings.Contains(r.Body, fmt.Sprintf("%q", fault.Quarantined)) && r.Outcome == fault.NotRun
		})
	}
	lost := countKilled(engines)
	t.Logf("%d of %d engines lost, at most %d allowed", lost, len(engines), limit)
	require.LessOrEqual(t, lost, limit)
	require.Positive(t, lost)
	for _, id := range c.IDs() {
		c.eventually("a sound request with the same first part through "+id, func() bool { return stream(id, "sound document").Complete })
	}
}

// Guards against a request that is quarantined and crashes engines again after all
// daemons have stopped at once, because no daemon is left to tell the others.
func TestQuarantineSurvivesRestartOfAllDaemons(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	engines := c.addCrashingEngines("r", quarantine.MaxUpstreamsLost(len(c.IDs()))+3)
	send := func(id string) Response {
		return c.paying.Stream(context.Background(), c.CallerURL(id), "rug-model", "poison pill", 5)
	}
	for _, id := range c.IDs() {
		c.eventually("the rejection through "+id, func() bool { return strings.Contains(send(id).Body, fmt.Sprintf("%q", fault.Quarantined)) })
	}
	const timeToStore = 2 * time.Second
	time.Sleep(timeToStore)
	lost := countKilled(engines)
	for _, id := range c.IDs() {
		require.NoError(t, c.KillDaemon(id))
	}
	for _, id := range c.IDs() {
		require.NoError(t, c.StartDaemon(id))
	}
	for _, id := range c.IDs() {
		c.waitServed(id)
		r := send(id)
		require.Contains(t, r.Body, fmt.Sprintf("%q", fault.Quarantined), "through %s", id)
		require.Equal(t, fault.NotRun, r.Outcome)
	}
	require.Equal(t, lost, countKilled(engines))
}

// Guards against paying streams that wait for free ones when those occupy all
// batch slots, and against free streams that are lost when they are preempted.
func TestPayingBeforeFree(t *testing.T) {
	t.Parallel()
	tree := strings.Replace(settingsTree(1), `"groupSize"`, `"maxQueueMs": 90000, "groupSize"`, 1)
	c := startClusterWith(t, DefaultLayout(tree))
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
		c.waitServed(id)
	}
	const freeTokens, payingTokens = 3000, 20
	var free sync.WaitGroup
	var mu sync.Mutex
	ended := 0
	freeResponses := make([]Response, freeStreams)
	for i := range freeResponses {
		free.Go(func() {
			entry := c.IDs()[i%len(c.IDs())]
			freeResponses[i] = c.free.Stream(context.Background(), c.CallerURL(entry), "rug-model", fmt.Sprint("free", i), freeTokens)
			mu.Lock()
			defer mu.Unlock()
			ended++
		})
	}
	c.eventually("all batch slots in use", func() bool {
		return engines[0].Running() == slots && engines[1].Running() == slots
	})
	// On a loaded machine some free streams end before all slots are in use.
	mu.Lock()
	endedBefore := ended
	mu.Unlock()
	var paying sync.WaitGroup
	payingResponses := make([]Response, payingStreams)
	for i := range payingResponses {
		paying.Go(func() {
			entry := c.IDs()[2*i%len(c.IDs())]
			payingResponses[i] = c.paying.Stream(context.Background(), c.CallerURL(entry), "rug-model", fmt.Sprint("paid", i), payingTokens)
		})
	}
	paying.Wait()
	mu.Lock()
	endedAfter := ended
	mu.Unlock()
	for i, r := range payingResponses {
		require.True(t, r.Complete, "%v %s", r.Err, r.Body)
		require.Equal(t, http.StatusOK, r.Status)
		require.Equal(t, fake.Answer(fmt.Sprint("paid", i), payingTokens), r.Content)
		t.Logf("paying stream %d: first byte after %s", i, r.FirstByte.Round(time.Millisecond))
	}
	require.Equal(t, endedBefore, endedAfter, "paying streams waited for free ones to end")
	free.Wait()
	for i, r := range freeResponses {
		require.True(t, r.Complete, "%d: %v %s", i, r.Err, r.Body)
		require.Equal(t, fake.Answer(fmt.Sprint("free", i), freeTokens), r.Content)
	}
}
