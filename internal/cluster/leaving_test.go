package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/fake"
)

// Guards against a daemon that sends requests to an engine after an answer of it has
// said that it is leaving, while its heartbeats still say that it is ready.
func TestDaemonsSendNothingToLeavingUpstream(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	leaving := c.addEngine("leaving", "a")
	c.addEngine("free", "b")
	for _, id := range c.IDs() {
		c.waitServed(id)
	}
	leaving.SetFaults(fake.Faults{Leaving: true})
	told := map[string]bool{}
	for n := 0; n < 400 && len(told) < len(c.IDs()); n++ {
		id := c.IDs()[n%len(c.IDs())]
		before := len(leaving.Runs())
		require.True(t, c.paying.Stream(context.Background(), c.CallerURL(id), "rug-model", fmt.Sprint("before", n), 3).Complete)
		if len(leaving.Runs()) > before {
			require.False(t, told[id], "a request after an answer that said that the engine is leaving")
			told[id] = true
		}
	}
	require.NotEmpty(t, told)
	after := time.Now().Add(2 * time.Second)
	for n := 0; time.Now().Before(after); n++ {
		for id := range told {
			before := len(leaving.Runs())
			require.True(t, c.paying.Stream(context.Background(), c.CallerURL(id), "rug-model", fmt.Sprint("after", n), 3).Complete)
			require.Equal(t, before, len(leaving.Runs()))
		}
	}
}

// Guards against a daemon that sends requests to an engine during the pause that it
// has asked that daemon for.
func TestDaemonsKeepThePauseOfAnUpstream(t *testing.T) {
	t.Parallel()
	const pause = 3 * time.Second
	c := startCluster(t, 1)
	paused := c.addEngine("paused", "a")
	c.addEngine("free", "b")
	for _, id := range c.IDs() {
		c.waitServed(id)
	}
	paused.SetFaults(fake.Faults{Pause: fmt.Sprint(pause.Seconds())})
	asked := map[string]time.Time{}
	for started, n := time.Now(), 0; time.Since(started) < 2*pause; n++ {
		id := c.IDs()[n%len(c.IDs())]
		before, sent := paused.Refusals(), time.Now()
		require.True(t, c.paying.Stream(context.Background(), c.CallerURL(id), "rug-model", fmt.Sprint("pause", n), 3).Complete, "another engine serves it")
		if paused.Refusals() > before {
			if last, known := asked[id]; known {
				require.Greater(t, time.Since(last), pause, "a request during the pause")
			}
			// The pause begins between the send and the end of the stream.
			asked[id] = sent
		}
	}
	require.NotEmpty(t, asked)
}
