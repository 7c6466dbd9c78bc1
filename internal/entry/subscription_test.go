package entry

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

// Guards against an entry that does not subscribe to the leader when there are
// more control instances than an entry subscribes to, and against one that
// stays with silent instances. Without the entries' reports the leader cannot
// plan.
func TestChoosesSources(t *testing.T) {
	e, _ := newEntry(t)
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.sources)
	e.opts.Seeds = []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	e.controls = []string{"10.0.0.4", "10.0.0.5", "10.0.0.6"}
	require.Equal(t, []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}, e.chooseSources(now))
	for _, id := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
		e.sources[id].lastUpdate = now
	}
	e.leader = "10.0.0.5"
	require.Equal(t, []string{"10.0.0.5", "10.0.0.1", "10.0.0.2"}, e.chooseSources(now))
	e.leader = ""
	// When two instances fall silent, others are tried in their place.
	later := now.Add(2 * sourceTimeout)
	e.sources["10.0.0.3"].lastUpdate = later
	chosen := e.chooseSources(later)
	require.Equal(t, "10.0.0.3", chosen[0])
	require.Contains(t, chosen, "10.0.0.4")
	require.Contains(t, chosen, "10.0.0.6")
}

// Guards against a lost update that goes unnoticed: a gap in the numbers must
// make the next subscription request all records.
func TestGapInUpdatesTriggersResync(t *testing.T) {
	e, _ := newEntry(t)
	receive := func(u *mesh.Update) {
		payload, err := proto.Marshal(u)
		require.NoError(t, err)
		_, err = e.serveUpdate(t.Context(), "10.0.0.1", payload)
		require.NoError(t, err)
	}
	position := func() (uint64, uint64) {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.sources["10.0.0.1"].id, e.sources["10.0.0.1"].lastNumber
	}
	receive(&mesh.Update{Source: 7, Number: 1, Complete: true})
	receive(&mesh.Update{Source: 7, Number: 2})
	source, number := position()
	require.EqualValues(t, []uint64{7, 2}, []uint64{source, number})
	receive(&mesh.Update{Source: 7, Number: 4})
	_, number = position()
	require.Zero(t, number, "the next subscription requests all records")
	receive(&mesh.Update{Source: 9, Number: 1, Complete: true})
	source, number = position()
	require.EqualValues(t, []uint64{9, 1}, []uint64{source, number}, "the instance has restarted")
}

// Guards against an entry that ignores the load of other entries at an
// upstream, or counts its own requests twice when it receives the totals from
// the leader.
func TestLoadIncludesOtherEntries(t *testing.T) {
	u := newUpstream(t, "u", stream(1, nil))
	e, _ := newEntry(t, u.record("model", "m"))
	e.mu.Lock()
	e.reportedLoads = map[string]int{"u": 2}
	var target *target
	for _, t := range e.targets {
		target = t
	}
	e.mu.Unlock()
	l := target.addRequest(time.Now(), 100, false)
	defer l.end()
	payload, err := proto.Marshal(&mesh.Update{Source: 3, Number: 1, Complete: true, Entries: 69,
		Loads: mesh.EncodeLoads(map[string]int{"u": 20, "unknown": 4})})
	require.NoError(t, err)
	_, err = e.serveUpdate(t.Context(), "10.0.0.1", payload)
	require.NoError(t, err)
	require.InDelta(t, 1+18, target.candidate(time.Now(), 69, 26, time.Second).Running, 0.01)
}

// Guards against an entry that waits for the catalog of an unresponsive control
// instance while another one could send it.
func TestCatalogIsAskedForElsewhere(t *testing.T) {
	e, _ := newEntry(t)
	running := func() []string {
		e.mu.Lock()
		defer e.mu.Unlock()
		return slices.Sorted(maps.Keys(e.fetches))
	}
	e.mu.Lock()
	e.fetches["10.0.0.1"] = time.Now()
	e.startFetch("10.0.0.1")
	e.startFetch("10.0.0.2")
	e.mu.Unlock()
	require.Equal(t, []string{"10.0.0.1"}, running(), "the first request may still be answered")
	e.mu.Lock()
	e.fetches["10.0.0.1"] = time.Now().Add(-fetchHedgeDelay)
	e.startFetch("10.0.0.2")
	_, requested := e.fetches["10.0.0.2"]
	e.mu.Unlock()
	require.True(t, requested)
}

// Guards against an update that starts a fetch of the catalog while the entry ends and
// waits for its goroutines.
func TestUpdatesWhileClosing(t *testing.T) {
	for range 20 {
		e, _ := newEntry(t)
		payload, err := proto.Marshal(&mesh.Update{Source: 7, Number: 1, Complete: true, CatalogVersion: 99})
		require.NoError(t, err)
		updated := make(chan struct{})
		go func() {
			defer close(updated)
			for range 200 {
				_, _ = e.serveUpdate(context.Background(), "10.0.0.1", payload)
			}
		}()
		e.Close()
		<-updated
	}
}
