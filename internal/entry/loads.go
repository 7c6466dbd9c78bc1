package entry

import (
	"maps"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/internal/control"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

// runLoadReports periodically reports this entry's requests in flight to the
// leader. With many entries, the responses of an upstream reach each of them
// too rarely to estimate its load.
func (e *Entry) runLoadReports() {
	ticker := time.NewTicker(control.LoadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			e.reportLoads(now)
		}
	}
}

// reportLoads sends the requests in flight to the leader if they have changed,
// or if the last report is about to expire there.
func (e *Entry) reportLoads(now time.Time) {
	e.mu.Lock()
	leader, loads := e.leader, e.inFlight()
	due := !maps.Equal(loads, e.reportedLoads) || len(loads) > 0 && now.Sub(e.loadsReportedAt) >= control.LoadReportTimeout/2
	if leader == "" || !due {
		e.mu.Unlock()
		return
	}
	e.reportedLoads, e.loadsReportedAt = loads, now
	e.mu.Unlock()
	payload, err := proto.Marshal(mesh.EncodeLoads(loads))
	if err != nil {
		e.opts.Logger.Error("failed to encode load report", zap.Error(err))
		return
	}
	e.opts.Network.Send(leader, mesh.ChannelLoads, payload)
}

// inFlight counts this entry's requests in flight by upstream. The caller holds
// mu.
func (e *Entry) inFlight() map[string]int {
	loads := map[string]int{}
	for key, t := range e.targets {
		if n := t.inFlight(); n > 0 {
			loads[key.id] += n
		}
	}
	return loads
}

// applyLoads updates the load of the other entries at each target from the
// totals over all entries. The caller holds mu.
func (e *Entry) applyLoads(now time.Time, loads []*mesh.Load) {
	total := make(map[string]int, len(loads))
	for _, l := range loads {
		total[l.Upstream] = int(l.Requests)
	}
	for key, t := range e.targets {
		t.recordOthers(now, float64(max(total[key.id]-e.reportedLoads[key.id], 0)))
	}
}
