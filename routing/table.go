package routing

import (
	"math"
	"sort"
	"time"
)

// Upstream is a candidate in a table together with its counters, which are
// shared between tables. The fields are immutable.
type Upstream struct {
	Candidate
	*Counters
	slot int32
	// baseLoad is the reported load minus ownWeight*ownReported, so that
	// baseLoad + ownWeight*inFlight is the corrected load.
	baseLoad         float64
	ownReported      int // requests of this entry that the report includes
	ownWeight        float64
	inverseBatch     float64 // 1 / MaxConcurrent
	reportedAt       int64   // send time of the load report, Unix nanoseconds
	groupConfirmedAt int64   // time of the group's confirmation, Unix nanoseconds
	distance         distance
}

// reportFresh reports whether the load report is younger than maxAge. The time is
// in Unix nanoseconds.
func (u *Upstream) reportFresh(now int64, maxAge time.Duration) bool {
	return now-u.reportedAt < int64(maxAge)
}

// groupFresh reports whether the group's confirmation is younger than maxAge.
func (u *Upstream) groupFresh(now int64, maxAge time.Duration) bool {
	return now-u.groupConfirmedAt < int64(maxAge)
}

// EstimatedLoad returns the estimated number of requests at the upstream: the
// reported number plus the weighted change in this entry's own requests since the
// report, and at least the number of its own requests. The weight, the square root
// of the number of entries, stands for the unknown requests of other entries, which
// are as likely to choose the same upstream. Using the full number of entries as
// the weight made the estimate noisier and increased the first-token latency.
func (u *Upstream) EstimatedLoad() float64 {
	own := float64(u.inFlight.Load())
	return max(u.baseLoad+u.ownWeight*own, own)
}

// OwnReportedLoad returns how many of the reported requests are this entry's.
func (u *Upstream) OwnReportedLoad() int { return min(u.ownReported, u.Load.Running+u.Load.Queued) }

// computeLoadRatio returns the estimated load as a multiple of the batch size.
func (u *Upstream) computeLoadRatio() float64 { return u.EstimatedLoad() * u.inverseBatch }

// poolKey identifies a pool. Pools with firstRankOnly hold only rank 0 of each
// replica group, the member that receives requests. With groups of eight, only
// an eighth of a sample would otherwise be eligible.
type poolKey struct {
	service, model string
	firstRankOnly  bool
}

// pool holds the upstreams of one key, ordered by id.
type pool struct {
	all           []*Upstream
	local         []*Upstream // in the entry's failure domain
	remote        []*Upstream
	medianSeconds float64 // of the observed first-token latencies
}

// Table is an immutable set of upstreams, indexed by service and model.
type Table struct {
	pools  map[poolKey]*pool
	byID   map[string]*Upstream
	bySlot []*Upstream
	At     time.Time
}

// Len returns the number of upstreams.
func (t *Table) Len() int { return len(t.byID) }

// Upstream returns the upstream with the given id, or nil.
func (t *Table) Upstream(id string) *Upstream { return t.byID[id] }

// Service returns the upstreams of a service ordered by id. The caller must not
// modify the slice.
func (t *Table) Service(service string) []*Upstream {
	if p := t.pools[poolKey{service: service}]; p != nil {
		return p.all
	}
	return nil
}

// buildTable builds a table of the candidates; the counters function returns the
// counters and the slot of each.
func buildTable(cfg *Config, now time.Time, candidates []Candidate, counters func(*Candidate) (*Counters, int32)) *Table {
	t := &Table{pools: map[poolKey]*pool{}, byID: make(map[string]*Upstream, len(candidates)), At: now}
	sorted := make([]*Upstream, 0, len(candidates))
	for _, c := range candidates {
		shared, slot := counters(&c)
		u := &Upstream{
			Candidate: c, Counters: shared, slot: slot,
			ownWeight:        math.Sqrt(float64(cfg.Entries)),
			inverseBatch:     1 / float64(max(c.MaxConcurrent, 1)),
			reportedAt:       c.Load.At.UnixNano(),
			groupConfirmedAt: c.Group.ConfirmedAt.UnixNano(),
			distance:         distanceOf(cfg, &c),
		}
		u.ownReported = int(shared.inFlightAt(c.Load.At))
		u.baseLoad = float64(c.Load.Running+c.Load.Queued) - u.ownWeight*float64(u.ownReported)
		sorted = append(sorted, u)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	for _, u := range sorted {
		t.byID[u.ID] = u
		for int(u.slot) >= len(t.bySlot) {
			t.bySlot = append(t.bySlot, nil)
		}
		t.bySlot[u.slot] = u
		t.index(u)
	}
	for _, p := range t.pools {
		p.medianSeconds = medianLatencySeconds(p.all)
	}
	return t
}

func (t *Table) index(u *Upstream) {
	for _, service := range u.Services {
		t.addToPools(poolKey{service: service}, u)
		for i, m := range u.Models {
			if m.Name != "" && !containsModel(u.Models[:i], m.Name) {
				t.addToPools(poolKey{service: service, model: m.Name}, u)
			}
		}
	}
}

func containsModel(models []Model, name string) bool {
	for i := range models {
		if models[i].Name == name {
			return true
		}
	}
	return false
}

func (t *Table) addToPools(key poolKey, u *Upstream) {
	t.addToPool(key, u)
	if u.Group.ID != "" && u.Group.Rank == 0 {
		key.firstRankOnly = true
		t.addToPool(key, u)
	}
}

func (t *Table) addToPool(key poolKey, u *Upstream) {
	p := t.pools[key]
	if p == nil {
		p = &pool{}
		t.pools[key] = p
	}
	p.all = append(p.all, u)
	if u.distance == ownDomain {
		p.local = append(p.local, u)
	} else {
		p.remote = append(p.remote, u)
	}
}

func medianLatencySeconds(us []*Upstream) float64 {
	var observed []float64
	for _, u := range us {
		if l := u.Latency(); l > 0 {
			observed = append(observed, l)
		}
	}
	if len(observed) == 0 {
		return 0
	}
	sort.Float64s(observed)
	return observed[len(observed)/2]
}
