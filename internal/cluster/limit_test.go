package cluster

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/fake"
)

// arrivals samples the number of requests that an engine has started.
type arrivals struct {
	mu     sync.Mutex
	times  []time.Time
	counts []int
}

func sampleArrivals(ctx context.Context, e *fake.Engine) *arrivals {
	a := &arrivals{}
	go func() {
		for ticker := time.NewTicker(20 * time.Millisecond); ctx.Err() == nil; <-ticker.C {
			a.mu.Lock()
			a.times, a.counts = append(a.times, time.Now()), append(a.counts, len(e.Runs()))
			a.mu.Unlock()
		}
	}()
	return a
}

// most returns the most requests in a window that begins after a time, and the
// number of all requests since then.
func (a *arrivals) most(from time.Time, window time.Duration) (most, all int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.times {
		if a.times[i].Before(from) {
			continue
		}
		for j := i; j < len(a.times) && a.times[j].Sub(a.times[i]) <= window; j++ {
			most = max(most, a.counts[j]-a.counts[i])
		}
		all = max(all, a.counts[len(a.counts)-1]-a.counts[i])
	}
	return most, all
}

// Guards against an engine in need that gets far more requests than it says that it
// takes, because each daemon knows only of its own.
func TestDaemonsKeepTheLimitOfAnUpstream(t *testing.T) {
	t.Parallel()
	const rate, window, contact, offered = 4, 4 * time.Second, 3 * time.Second, 30
	c := startCluster(t, 1)
	limited := c.addEngine("limited", "a")
	c.addEngine("free", "b")
	for _, id := range c.IDs() {
		c.waitServed(id)
	}
	limited.SetFaults(fake.Faults{RequestLimit: fmt.Sprint(rate)})
	var running sync.WaitGroup
	var sent, served atomic.Int32
	send := func(duration time.Duration) {
		ticker := time.NewTicker(time.Second / offered)
		defer ticker.Stop()
		for started := time.Now(); time.Since(started) < duration; <-ticker.C {
			n := sent.Add(1)
			running.Go(func() {
				if c.paying.Stream(context.Background(), c.CallerURL(c.IDs()[int(n)%len(c.IDs())]), "rug-model", fmt.Sprint("limited", n), 5).Complete {
					served.Add(1)
				}
			})
		}
	}
	a := sampleArrivals(t.Context(), limited)
	send(contact)
	from := time.Now()
	send(3 * window)
	running.Wait()
	most, all := a.most(from, window)
	t.Logf("%d requests, %d served; %d arrived, %d in %s at most", sent.Load(), served.Load(), all, most, window)
	require.LessOrEqual(t, most, int(1.5*rate*window.Seconds())+5)
	require.GreaterOrEqual(t, all, int(rate*window.Seconds()/2), "an engine with a limit still serves")
	require.Equal(t, sent.Load(), served.Load(), "the other engine takes the rest")
}
