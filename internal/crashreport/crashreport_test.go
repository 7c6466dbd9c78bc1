package crashreport

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/peer/peertest"
	"github.com/bluebellfield/bluebellfield/quarantine"
)

func startReporter(t *testing.T, n *peertest.Messages, id string) *Reporter {
	e := n.Endpoint(id)
	r := New(Options{Tracker: quarantine.Config{Self: id}, Network: e, LiveEntries: e.Others, Logger: zap.NewNop()})
	var running sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	running.Go(func() { r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return r
}

// Guards against suspects that wait for the next tick of an idle tracker, which
// comes after a second, and against an entry that starts later and knows nothing
// of what the others have found.
func TestEntriesShareCrashes(t *testing.T) {
	n := peertest.NewMessages()
	first := startReporter(t, n, "a")
	startReporter(t, n, "b")
	first.EntriesChanged()
	culprit := quarantine.DigestOf("account", "service", []byte("culprit"))
	admit := func(r *Reporter) quarantine.Action { return r.Tracker().Admit(time.Now(), culprit).Action }
	started := time.Now()
	for i, upstream := range []string{"u1", "u2", "u3"} {
		target := quarantine.Target{Upstream: upstream, Incarnation: 1}
		require.Eventually(t, func() bool {
			_, ok := first.Tracker().Start(time.Now(), "service", uint64(i), culprit, target)
			return ok
		}, 10*time.Second, time.Millisecond, "the reports of all entries after %d crashes", i)
		first.Crashed(target)
	}
	require.Eventually(t, func() bool { return admit(first) == quarantine.Refuse }, 10*time.Second, time.Millisecond)
	require.Less(t, time.Since(started), 2*idleInterval, "three crashes, with a tick or more after each")
	late := startReporter(t, n, "c")
	require.Equal(t, quarantine.Run, admit(late))
	first.EntriesChanged()
	require.Eventually(t, func() bool { return admit(late) == quarantine.Refuse }, 10*time.Second, time.Millisecond)
}

// Guards against a broken message that ends the exchange.
func TestInvalidMessageIsRejected(t *testing.T) {
	n := peertest.NewMessages()
	startReporter(t, n, "a")
	_, err := n.Handler("a")(t.Context(), "b", []byte("not a message"))
	require.Error(t, err)
}
