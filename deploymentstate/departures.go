package deploymentstate

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
)

// departures holds the latest departure of each upstream. A later incarnation of
// an upstream outdates the reports of the earlier ones by itself.
type departures struct {
	byUpstream map[string]recordedDeparture
	// changes counts the changes in this process.
	changes uint64
}

type recordedDeparture struct {
	*Departure
	// change is the value of changes after the departure was recorded.
	change uint64
}

// outdates reports whether a departure adds nothing to the one that is recorded.
func (d recordedDeparture) outdates(startMillis int64, gone bool) bool {
	if d.Departure == nil || d.StartUnixMillis < startMillis {
		return false
	}
	return d.StartUnixMillis > startMillis || d.Gone || !gone
}

func (d *departures) record(c *RecordDepartures) {
	for id, known := range d.byUpstream {
		if known.UntilUnixMillis <= c.NowUnixMillis {
			delete(d.byUpstream, id)
		}
	}
	for _, added := range c.Departures {
		if d.byUpstream[added.Upstream].outdates(added.StartUnixMillis, added.Gone) {
			continue
		}
		d.put(added)
	}
}

func (d *departures) put(added *Departure) {
	if d.byUpstream == nil {
		d.byUpstream = map[string]recordedDeparture{}
	}
	d.changes++
	d.byUpstream[added.Upstream] = recordedDeparture{added, d.changes}
}

// list returns the departures that were recorded after a number of changes, in
// order of upstream.
func (d *departures) list(since uint64) []*Departure {
	var all []*Departure
	for _, recorded := range d.byUpstream {
		if recorded.change > since {
			all = append(all, recorded.Departure)
		}
	}
	slices.SortFunc(all, func(a, b *Departure) int { return strings.Compare(a.Upstream, b.Upstream) })
	return all
}

// Departures returns the departures that were recorded in this process after a
// number of changes, and the present number. They must not be modified.
func (m *Machine) Departures(since uint64) (changes uint64, recorded []*Departure) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.departures.changes == since {
		return since, nil
	}
	return m.departures.changes, m.departures.list(since)
}

// HasDeparture reports whether a departure, or one that outdates it, is recorded.
func (m *Machine) HasDeparture(upstream string, startMillis int64, gone bool) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.departures.byUpstream[upstream].outdates(startMillis, gone)
}

// DepartureCount returns the number of recorded departures.
func (m *Machine) DepartureCount() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.departures.byUpstream)
}

// EncodeRecordDepartures returns the command that records departures at the given
// time.
func EncodeRecordDepartures(now time.Time, all []*Departure) ([]byte, error) {
	return proto.Marshal(&Command{Body: &Command_RecordDepartures{RecordDepartures: &RecordDepartures{Departures: all, NowUnixMillis: now.UnixMilli()}}})
}
