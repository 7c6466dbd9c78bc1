package control

import (
	"runtime"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/bench"
	"github.com/bluebellfield/bluebellfield/internal/daemon"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/routing"
)

// tableRounds is the number of times that each computation is repeated to
// measure its CPU time.
const tableRounds = 200

// measureTables returns the usage of publishing the routing table and of
// computing the capacity of one service for admission. A daemon does both
// periodically, independent of the traffic.
func measureTables(upstreams int) (publish, capacity usage, err error) {
	f := newFleet(1, topology{domains: 1, daemons: 2, upstreams: upstreams})
	if err := f.run(warmup); err != nil {
		return publish, capacity, err
	}
	view := f.daemons[0].registry.View()
	heapBefore := heapBytes()
	router := routing.New(routing.Config{FailureDomain: "domain-0", Region: "r"}, nil)
	now := f.time()
	publish.CorePercent, err = corePercent(daemon.RoutingTableInterval(upstreams), func() { router.Publish(now, candidates(view)) })
	if err != nil {
		return publish, capacity, err
	}
	publish.Megabytes = float64(heapBytes()-heapBefore) / 1e6
	slots := 0
	capacity.CorePercent, err = corePercent(daemon.DemandReportInterval, func() { slots += freeSlots(router, view, now) })
	runtime.KeepAlive(f)
	runtime.KeepAlive(router)
	runtime.KeepAlive(slots)
	return publish, capacity, err
}

// corePercent returns the CPU time, in percent of one core, of a computation
// that runs once per period.
func corePercent(period time.Duration, compute func()) (float64, error) {
	before, err := bench.CPUTime()
	if err != nil {
		return 0, err
	}
	for range tableRounds {
		compute()
	}
	after, err := bench.CPUTime()
	return 100 * (after - before).Seconds() / tableRounds / period.Seconds(), err
}

// candidates converts a view in the same way as the daemon's picker.
func candidates(view *membership.View) []routing.Candidate {
	all := view.All()
	list := make([]routing.Candidate, 0, len(all))
	for _, u := range all {
		load := u.Load()
		at, _ := u.Reported()
		c := routing.Candidate{
			ID: u.ID, Incarnation: u.Incarnation, Address: u.Address, FailureDomain: u.FailureDomain, Region: "r",
			Services: u.Services, State: routing.State(u.State), Role: routing.Role(u.Role), Priorities: u.Features.Priorities,
			MaxConcurrent: u.MaxConcurrent,
			Load:          routing.Load{Running: load.Running, Queued: load.Queued, KVUse: load.KVUse, At: at},
		}
		for _, m := range u.Models {
			c.Models = append(c.Models, routing.Model{Name: m.Name, Version: m.Version, Adapter: m.Adapter})
		}
		list = append(list, c)
	}
	return list
}

// freeSlots sums the free slots of the upstreams of a service. It looks up each
// upstream as the daemon's picker does when it computes the capacity for
// admission.
func freeSlots(router *routing.Router, view *membership.View, now time.Time) int {
	slots := 0
	for _, u := range router.Table().Service("rug-model") {
		if v := view.Get(u.ID); v != nil && view.Dispatchable(v, now) {
			slots += max(1, u.MaxConcurrent) - int(u.EstimatedLoad()) + u.InFlight()
		}
	}
	return slots
}
