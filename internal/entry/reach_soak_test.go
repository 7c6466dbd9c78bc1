package entry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// Guards against requests that run twice, that get the answer to another one or only a
// part of theirs, and against entries that do not come back to their own ways, while entries
// are cut off from upstreams in series that overlap, from each other, and stop and start.
func TestReachSoak(t *testing.T) {
	for _, seed := range seedsOf(t, []uint64{0, 1, 2, 3}) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runReachSoak(t, seed)
		})
	}
}

func runReachSoak(t *testing.T, seed uint64) {
	const duration, recovery, upstreams = 8 * time.Second, 3 * time.Second, 3
	random := rand.New(rand.NewPCG(seed, 1))
	c := newEntryCluster(t, 3+random.IntN(4))
	runs := &runCounter{runs: map[string]int{}}
	named := func(_ *fakeUpstream, _ int, w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "answer to "+r.Header.Get("Id"))
	}
	for n := range upstreams {
		c.register(newUpstream(t, fmt.Sprint("app-", n), runs.script(named)).record("app", ""))
		c.register(newUpstream(t, fmt.Sprint("head-", n), runs.script(stream(5, nil))).record("model", "m"))
	}
	c.waitUpstreams(upstreams)
	ended := time.Now().Add(duration)
	crash := &crashSoak{cluster: c}
	var faults, requests sync.WaitGroup
	for n, id := range c.ids {
		cuts := rand.New(rand.NewPCG(seed, 2+uint64(n)))
		faults.Go(func() { cutFromUpstreams(cuts, c.cuts[id], ended) })
		if n > 0 && n%2 == 0 {
			stops := rand.New(rand.NewPCG(seed, 100+uint64(n)))
			faults.Go(func() { crash.restartEntry(stops, n, ended) })
		}
	}
	severs := rand.New(rand.NewPCG(seed, 200))
	faults.Go(func() { crash.cutEntries(severs, ended) })
	send := func(entry, n int) bool {
		path := []string{"/read/x", "/order/x", "/chat/x"}[n%3]
		id := fmt.Sprintf("%s-%d-%d", path[1:5], entry, n)
		status, body, whole := c.send(entry, path, id)
		if status != http.StatusOK || !whole {
			return false
		}
		if path == "/chat/x" {
			return assertEqual(t, events(5), body, id)
		}
		return assertEqual(t, "answer to "+id, body, id)
	}
	for n := 0; time.Now().Before(ended); n++ {
		entry := random.IntN(len(c.ids))
		requests.Go(func() { send(entry, n) })
		time.Sleep(8 * time.Millisecond)
	}
	faults.Wait()
	requests.Wait()
	for _, cut := range c.cuts {
		cut.set(notCut)
	}
	time.Sleep(recovery)
	for n := range 30 * len(c.ids) {
		require.True(t, send(n%len(c.ids), 1_000_000+n), "request %d after the faults", n)
	}
	for id, n := range runs.all() {
		if strings.HasPrefix(id, "orde") {
			require.LessOrEqual(t, n, 1, "runs of %s", id)
		}
	}
	for n := range c.ids {
		e := c.member(n).entry
		for _, name := range []string{"relay.cut_upstreams", "relay.helping"} {
			gauge := e.opts.Registry.Get(name).(metrics.Gauge)
			require.Eventually(t, func() bool { return gauge.Value() == 0 }, 10*time.Second, 20*time.Millisecond, "%s of entry %d", name, n)
		}
	}
}

func assertEqual(t *testing.T, want, got, id string) bool {
	if want != got {
		t.Errorf("%s got %q", id, got)
	}
	return want == got
}

// cutFromUpstreams cuts an entry off from the upstreams and heals the cut, in turn.
func cutFromUpstreams(plan *rand.Rand, cut *upstreamCut, ended time.Time) {
	kinds := []cutKind{hangs, resetsAll, refusesNew}
	for time.Now().Before(ended) {
		time.Sleep(between(plan, 100*time.Millisecond, 1500*time.Millisecond))
		cut.set(kinds[plan.IntN(len(kinds))])
		time.Sleep(between(plan, 200*time.Millisecond, 2500*time.Millisecond))
		cut.set(notCut)
	}
}

// send sends a request through an entry on an open connection of its client.
func (c *entryCluster) send(n int, path, id string) (status int, body string, whole bool) {
	m := c.member(n)
	if m == nil {
		return 0, "", false
	}
	req, err := http.NewRequest(http.MethodPost, m.server.URL+path, strings.NewReader("the body"))
	if err != nil {
		return 0, "", false
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"Id": id, "Key": "key", "Model": "m"} {
		req.Header.Set(name, value)
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), err == nil
}
