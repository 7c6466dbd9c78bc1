package crashreport

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/quarantine"
)

// fakeNetwork delivers messages at once. An entry without a handler is down.
type fakeNetwork struct {
	mu       sync.Mutex
	handlers map[string]peer.Handler
}

// endpoint is the network of one entry.
type endpoint struct {
	network *fakeNetwork
	id      string
}

func (e endpoint) Handle(_ string, h peer.Handler) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.network.handlers[e.id] = h
}

func (e endpoint) Send(to, _ string, payload []byte) bool {
	e.network.mu.Lock()
	h := e.network.handlers[to]
	e.network.mu.Unlock()
	if h == nil {
		return false
	}
	go func() { _, _ = h(context.Background(), e.id, payload) }()
	return true
}

// others lists the other entries that are up.
func (e endpoint) others() []string {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	var ids []string
	for id := range e.network.handlers {
		if id != e.id {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func startReporter(t *testing.T, n *fakeNetwork, id string) *Reporter {
	e := endpoint{n, id}
	r := New(Options{Tracker: quarantine.Config{Self: id}, Network: e, LiveEntries: e.others, Logger: zap.NewNop()})
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
	n := &fakeNetwork{handlers: map[string]peer.Handler{}}
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
	n := &fakeNetwork{handlers: map[string]peer.Handler{}}
	startReporter(t, n, "a")
	_, err := n.handlers["a"](t.Context(), "b", []byte("not a message"))
	require.Error(t, err)
}
