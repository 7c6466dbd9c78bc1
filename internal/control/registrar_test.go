package control

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

// Guards against one report of another writer, with a number that is no time, that
// outdates all reports of an upstream for good.
func TestReportFromTheFutureIsIgnored(t *testing.T) {
	c := startControl(t, "127.0.0.1")
	listServices(t, c, 1, "s")
	started := time.Now().UnixMilli()
	report := func(start int64, sequence uint64, address string) {
		require.NoError(t, c.HandleReport(t.Context(), fleet.Upstream{ID: "u", Service: "s", Address: address, FailureDomain: "z", StartMillis: start, Sequence: sequence}))
	}
	known := func() fleet.Upstream {
		c.mu.Lock()
		defer c.mu.Unlock()
		u, found := c.table.Get("u")
		require.True(t, found)
		return u
	}
	report(started, 1, "10.0.0.1:80")
	for _, future := range []int64{math.MaxInt64, started + 24*time.Hour.Milliseconds()} {
		report(future, 1, "10.0.0.2:80")
		require.NoError(t, c.HandleDeparture(t.Context(), "u", future))
	}
	report(started, 2, "10.0.0.3:80")
	require.Equal(t, "10.0.0.3:80", known().Address)
	require.Equal(t, fleet.Ready, known().Phase)
	report(started+time.Minute.Milliseconds(), 1, "10.0.0.4:80")
	require.Equal(t, "10.0.0.4:80", known().Address, "a clock that is ahead by a minute")
}

// Guards against a report of another system that takes the address of an upstream in
// use, so that the upstream counts as ended and its replica group is dissolved.
func TestReportOfUnlistedServiceTakesNoAddress(t *testing.T) {
	c := startControl(t, "127.0.0.1")
	started := time.Now().UnixMilli()
	head := fleet.Upstream{ID: "head", Service: "model", Address: "10.0.0.1:80", FailureDomain: "z", StartMillis: started, Sequence: 1}
	listServices(t, c, 1, "model")
	require.NoError(t, c.HandleReport(t.Context(), head))
	require.NoError(t, c.HandleReport(t.Context(), fleet.Upstream{ID: "web", Service: "elsewhere", Address: head.Address, FailureDomain: "z", StartMillis: started + 1, Sequence: 1}))
	u, known := registered(c, "head")
	require.True(t, known)
	require.Equal(t, fleet.Ready, u.Phase)
	require.False(t, u.Replaced)
	_, known = registered(c, "web")
	require.False(t, known)

	// A process of a listed service that started later does take the address.
	require.NoError(t, c.HandleReport(t.Context(), fleet.Upstream{ID: "next", Service: "model", Address: head.Address, FailureDomain: "z", StartMillis: started + 2, Sequence: 1}))
	u, _ = registered(c, "head")
	require.True(t, u.Replaced)
}

// Guards against a report of another system that takes the address of an upstream in
// use at an instance that has no catalog yet, as after the replacement of another
// instance. It must not be handed on either.
func TestReportBeforeTheCatalogTakesNoAddress(t *testing.T) {
	c := startControl(t, "127.0.0.1")
	subscribe(t, c, "10.0.0.9")
	started := time.Now().UnixMilli()
	head := fleet.Upstream{ID: "head", Service: "model", Address: "10.0.0.1:80", FailureDomain: "z", StartMillis: started, Sequence: 1}
	foreign := fleet.Upstream{ID: "web", Service: "elsewhere", Address: head.Address, FailureDomain: "z", StartMillis: started + 1, Sequence: 1}
	require.NoError(t, c.HandleReport(t.Context(), foreign))
	_, known := registered(c, "web")
	require.False(t, known)
	c.mu.Lock()
	require.Empty(t, c.subscribers["10.0.0.9"].pending)
	c.mu.Unlock()

	require.NoError(t, c.HandleReport(t.Context(), head))
	listServices(t, c, 1, "model")
	u, known := registered(c, "head")
	require.True(t, known, "its report takes effect with the catalog")
	require.Equal(t, fleet.Ready, u.Phase)
	_, known = registered(c, "web")
	require.False(t, known)
}

// Guards against reports that nobody acts on because an instance that has just joined
// the deployment acknowledges them: the leader would take the upstreams for lost. It
// lets them report elsewhere, unless the whole deployment starts.
func TestJoiningInstanceLetsUpstreamsReportElsewhere(t *testing.T) {
	c, stop := startControlAt(t, t.TempDir(), func(o *Options) { o.Bootstrap = false }, "10.0.0.2")
	defer stop()
	report := fleet.Upstream{ID: "u", Service: "model", Address: "10.0.0.1:80", FailureDomain: "z", StartMillis: time.Now().UnixMilli(), Sequence: 1}
	require.Equal(t, fault.Unavailable, fault.CodeOf(c.HandleReport(t.Context(), report)))
	// Upstreams that other instances have told it of may report here.
	payload, err := proto.Marshal(&mesh.Update{Source: 1, Number: 1, Complete: true, Upstreams: []*mesh.Upstream{mesh.EncodeUpstream(&report)}})
	require.NoError(t, err)
	_, err = c.serveUpdate(t.Context(), "10.0.0.2", payload)
	require.NoError(t, err)
	report.Sequence++
	require.NoError(t, c.HandleReport(t.Context(), report))
}

// Guards against acknowledging that an upstream drains at an instance that cannot tell
// yet whether it is one of the deployment, and tells nobody.
func TestDrainingBeforeTheCatalogIsNotAcknowledged(t *testing.T) {
	c := startControl(t, "127.0.0.1")
	u := fleet.Upstream{ID: "u", Service: "model", Address: "10.0.0.1:80", FailureDomain: "z", StartMillis: time.Now().UnixMilli(), Sequence: 2, Phase: fleet.Draining}
	err := c.HandleReport(t.Context(), u)
	require.Equal(t, fault.Unavailable, fault.CodeOf(err))
	listServices(t, c, 1, "model")
	require.NoError(t, c.HandleReport(t.Context(), u))
	known, _ := registered(c, "u")
	require.Equal(t, fleet.Draining, known.Phase)
}

// Guards against upstreams that are used late, or after they left, because their
// reports arrived before the catalog that lists their service.
func TestReportsTakeEffectWithTheCatalogThatListsTheirService(t *testing.T) {
	c := startControl(t, "127.0.0.1")
	started := time.Now().UnixMilli()
	report := func(id string, sequence uint64, phase fleet.Phase) {
		require.NoError(t, c.HandleReport(t.Context(), fleet.Upstream{ID: id, Service: "new", Address: id + ":80", FailureDomain: "z", StartMillis: started, Sequence: sequence, Phase: phase}))
	}
	listServices(t, c, 1, "model")
	report("10.0.0.1", 2, fleet.Draining)
	report("10.0.0.1", 1, fleet.Ready)
	report("10.0.0.2", 1, fleet.Ready)
	require.NoError(t, c.HandleDeparture(t.Context(), "10.0.0.2", started))
	_, known := registered(c, "10.0.0.1")
	require.False(t, known)

	listServices(t, c, 2, "model", "new")
	u, known := registered(c, "10.0.0.1")
	require.True(t, known)
	require.Equal(t, fleet.Draining, u.Phase, "the newest report counts")
	report("10.0.0.2", 2, fleet.Ready)
	u, _ = registered(c, "10.0.0.2")
	require.Equal(t, fleet.Gone, u.Phase, "an upstream that left is not used")

	// After the service was removed, its registered upstreams still report that
	// they drain or leave.
	report("10.0.0.3", 1, fleet.Ready)
	listServices(t, c, 3, "model")
	report("10.0.0.3", 2, fleet.Draining)
	u, _ = registered(c, "10.0.0.3")
	require.Equal(t, fleet.Draining, u.Phase)
}

// Guards against reports of unlisted services that fill the memory.
func TestUnlistedReportsAreBounded(t *testing.T) {
	var r unlistedReports
	now := time.Now()
	r.setServices(nil)
	for n := range 2 * maxUnlisted {
		r.keep(now, fleet.Upstream{ID: fmt.Sprint(n), Service: "elsewhere"})
	}
	require.Len(t, r.reports, maxUnlisted)
	r.removeOlderThan(now.Add(time.Second))
	require.Empty(t, r.reports)
}

// listServices puts a catalog with the given services into force.
func listServices(t *testing.T, c *Control, version uint64, services ...string) {
	content, err := catalog.New(catalog.Content{Version: version})
	require.NoError(t, err)
	require.NoError(t, c.PutCatalog(t.Context(), content, []byte(strings.Join(services, " "))))
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(services) == len(c.unlisted.listed)
	}, 10*time.Second, time.Millisecond)
}

func registered(c *Control, id string) (fleet.Upstream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Get(id)
}

// Guards against a departure that only the entry knows whose request was answered
// with it: the other instances must be told, and a heartbeat that says ready must not
// take it back.
func TestDepartureToldByAnEntry(t *testing.T) {
	c := startControl(t, "127.0.0.1")
	listServices(t, c, 1, "s")
	subscribe(t, c, "10.0.0.9")
	started := time.Now().UnixMilli()
	report := fleet.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", FailureDomain: "z", StartMillis: started, Sequence: 1}
	require.NoError(t, c.HandleReport(t.Context(), report))
	tell := func(id string, start int64) {
		record := report
		record.ID, record.StartMillis, record.Phase = id, start, fleet.Draining
		payload, err := proto.Marshal(&mesh.Update{Upstreams: []*mesh.Upstream{mesh.EncodeUpstream(&record)}})
		require.NoError(t, err)
		_, err = c.serveDepartures(t.Context(), "10.0.0.9", payload)
		require.NoError(t, err)
	}
	tell("u", started-1)
	u, _ := registered(c, "u")
	require.Equal(t, fleet.Ready, u.Phase)
	tell("u", started)
	u, _ = registered(c, "u")
	require.Equal(t, fleet.Draining, u.Phase)
	require.Eventually(t, func() bool { return c.machine.HasDeparture("u", started, false) }, 10*time.Second, time.Millisecond)
	report.Sequence = 2
	require.NoError(t, c.HandleReport(t.Context(), report))
	u, _ = registered(c, "u")
	require.Equal(t, fleet.Draining, u.Phase)
}

// Guards against a departure that is acknowledged and forgotten because the instance
// has just started and does not know the upstream yet.
func TestDepartureOfUnknownUpstreamIsPassedOn(t *testing.T) {
	started, other := startControl(t, "127.0.0.1"), startControl(t, "127.0.0.1")
	listServices(t, started, 1, "s")
	listServices(t, other, 1, "s")
	subscribe(t, started, "10.0.0.9")
	born := time.Now().UnixMilli()
	report := fleet.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", FailureDomain: "z", StartMillis: born, Sequence: 1}
	require.NoError(t, other.HandleReport(t.Context(), report))
	require.NoError(t, started.HandleDeparture(t.Context(), "u", born))
	report.Sequence = 2
	require.NoError(t, started.HandleReport(t.Context(), report))
	u, known := registered(started, "u")
	require.True(t, known)
	require.Equal(t, fleet.Gone, u.Phase, "a report that was sent before the departure")

	other.mu.Lock()
	_, changed := other.table.Observe(time.Now(), u)
	other.mu.Unlock()
	require.True(t, changed)
	u, _ = registered(other, "u")
	require.Equal(t, fleet.Gone, u.Phase)
	require.Equal(t, "s", u.Service, "what was known of it is kept")

	report.StartMillis, report.Sequence = born+1, 1
	require.NoError(t, started.HandleReport(t.Context(), report))
	u, _ = registered(started, "u")
	require.Equal(t, fleet.Ready, u.Phase, "a new incarnation")
}
