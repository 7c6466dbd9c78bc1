package entry

import (
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

// leavingReportTime is how long a departure is reported to the control instances,
// with each renewal of the subscriptions, because messages may be lost.
const leavingReportTime = 3 * time.Second

// leavingReport is a departure that is being reported.
type leavingReport struct {
	payload []byte
	until   time.Time
}

// recordLeaving records that an answer to a request said that its upstream is
// leaving. The upstream gets no more requests from this entry, and the control
// instances are told, so that its group is replaced and other entries hear of it.
func (e *Entry) recordLeaving(t *target, requestID string) {
	if !e.limits.Leave(t.process()) {
		return
	}
	e.opts.Logger.Info("upstream says that it is leaving", zap.String("upstream", t.upstream.ID),
		zap.Int64("startMillis", t.upstream.StartMillis), zap.String("request", requestID))
	e.stats.leaving.Inc(1)
	payload, err := proto.Marshal(&mesh.Upstream{Id: t.upstream.ID, Born: t.upstream.StartMillis, Phase: uint32(fleet.Draining)})
	e.mu.Lock()
	if e.table.Drain(t.upstream.ID, t.upstream.StartMillis, fleet.Draining) {
		e.rebuildView()
	}
	if err == nil {
		e.leaving = append(e.leaving, leavingReport{payload, time.Now().Add(leavingReportTime)})
	}
	e.mu.Unlock()
	if err != nil {
		e.opts.Logger.Error("failed to encode departure", zap.String("upstream", t.upstream.ID), zap.Error(err))
		return
	}
	e.reportLeaving(time.Now())
}

// reportLeaving tells all known control instances of recent departures.
func (e *Entry) reportLeaving(now time.Time) {
	e.mu.Lock()
	e.leaving = slices.DeleteFunc(e.leaving, func(r leavingReport) bool { return now.After(r.until) })
	reports := slices.Clone(e.leaving)
	controls := sortedUnique(slices.Concat(e.opts.Seeds, e.controls))
	e.mu.Unlock()
	for _, r := range reports {
		for _, id := range controls {
			e.opts.Network.Send(id, mesh.ChannelLeaving, r.payload)
		}
	}
}
