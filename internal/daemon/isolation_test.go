package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/feed"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/quarantine"
)

// Guards against a suspect that no entry may run because its assigned
// upstreams are lost but not yet removed.
func TestLostUpstreamsAreNotForIsolation(t *testing.T) {
	for i := range 10 {
		now := time.Now()
		registry := membership.New(membership.Config{ID: "x", FailureDomain: "a", Incarnation: 1}, now.Add(-time.Minute))
		announce := func(at time.Time, id string) {
			registry.Announce(at, membership.Announcement{
				ID: id, Incarnation: 1, Sequence: 1, Address: id, FailureDomain: "a", Services: []string{"s"}, State: membership.Ready,
			})
		}
		for n := range 10 {
			announce(now.Add(-10*time.Second), fmt.Sprint("lost-", n))
		}
		present := fmt.Sprint("present-", i)
		announce(now, present)
		m := &members{}
		m.view.Store(registry.View())
		crashes := &crashTracker{tracker: quarantine.New(quarantine.Config{Self: "x"})}
		crashes.tracker.SetEntries(now, []string{"x", "y"})
		shared := &sharedState{client: feed.NewClient(feed.Options{})}
		p := newPicker(&config.Daemon{ID: "x", FailureDomain: "a"}, 1, shared, m, nil, crashes, newLimitReporter(&config.Daemon{ID: "x"}, 1, &fakeNetwork{}, nil, zap.NewNop()), zap.NewNop())
		p.trackUpstreams(m.View(), m.View().All())
		require.Len(t, p.lostUpstreams, 10)
		require.True(t, crashes.tracker.Isolation(now, "s", quarantine.Digest{1})(present), present)
	}
}
