package entry

import (
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

// departureReportTime is how long a departure that an answer has told is reported to
// the control instances, with each renewal of the subscriptions, because messages
// may be lost.
const departureReportTime = 3 * time.Second

// departureReport is a departure that is being reported.
type departureReport struct {
	record *mesh.Upstream
	until  time.Time
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
	e.mu.Lock()
	if e.table.Drain(t.upstream.ID, t.upstream.StartMillis, fleet.Draining) {
		e.rebuildView()
	}
	record := t.upstream
	record.Phase = fleet.Draining
	e.departures = append(e.departures, departureReport{mesh.EncodeUpstream(&record), time.Now().Add(departureReportTime)})
	e.mu.Unlock()
	e.reportDepartures(time.Now())
}

// reportDepartures tells all known control instances of the departures that answers
// have told recently.
func (e *Entry) reportDepartures(now time.Time) {
	e.mu.Lock()
	e.departures = slices.DeleteFunc(e.departures, func(r departureReport) bool { return now.After(r.until) })
	var records []*mesh.Upstream
	for _, r := range e.departures {
		records = append(records, r.record)
	}
	controls := sortedUnique(slices.Concat(e.opts.Seeds, e.controls))
	e.mu.Unlock()
	for _, id := range controls {
		e.sendDepartures(id, records)
	}
}

// departed lists the records of all upstreams that are draining or gone. The caller
// holds mu.
func (e *Entry) departed() []*mesh.Upstream {
	var records []*mesh.Upstream
	for _, u := range e.table.All() {
		if u.Phase != fleet.Ready {
			records = append(records, mesh.EncodeUpstream(&u))
		}
	}
	return records
}

func (e *Entry) sendDepartures(id string, records []*mesh.Upstream) {
	if len(records) == 0 {
		return
	}
	payload, err := proto.Marshal(&mesh.Update{Upstreams: records})
	if err != nil {
		e.opts.Logger.Error("failed to encode departures", zap.Error(err))
		return
	}
	e.opts.Network.Send(id, mesh.ChannelDepartures, payload)
}
