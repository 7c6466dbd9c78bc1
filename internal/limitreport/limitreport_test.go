package limitreport

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/peer/peertest"
	"github.com/bluebellfield/bluebellfield/upstreamlimit"
)

func startReporter(t *testing.T, n *peertest.Messages, id string) *Reporter {
	e := n.Endpoint(id)
	r := New(Options{Self: id, Incarnation: 1, Network: e, LiveEntries: e.Others, Logger: zap.NewNop()})
	var running sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	running.Go(func() { r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return r
}

// Guards against an entry that joins, or has no requests for an upstream, and does
// not know its limit.
func TestEntriesShareLimits(t *testing.T) {
	n := peertest.NewMessages()
	first, second := startReporter(t, n, "a"), startReporter(t, n, "b")
	target := upstreamlimit.Target{Upstream: "u", Incarnation: 1}
	knows := func(r *Reporter) func() bool { return func() bool { return len(r.Statuses()) == 1 } }
	first.Observe(target, 4, true)
	require.Eventually(t, knows(second), 10*time.Second, time.Millisecond)
	require.Eventually(t, knows(startReporter(t, n, "c")), 10*time.Second, time.Millisecond)
	first.Observe(target, 0, false)
	require.Eventually(t, func() bool { return !knows(second)() }, 10*time.Second, time.Millisecond)
	_, err := n.Handler("a")(t.Context(), "b", []byte("not a message"))
	require.Error(t, err)
}
