package routing

import (
	"math"
	"sort"
	"time"
)

// Upstream is a candidate in a table, with the counters that several tables
// share. Its fields do not change.
type Upstream struct {
	Candidate
	*Counters
	slot int32
	// base is the reported load less scale times the requests of this entry
	// that the report includes, so that base plus scale times the requests in
	// flight is the corrected load.
	base     float64
	included int // requests of this entry that the report includes
	scale    float64
	perSlot  float64 // 1 / MaxConcurrent
	at       int64   // send time of the load report, Unix nanoseconds
	grouped  int64   // time of the group's confirmation, Unix nanoseconds
	distance distance
}

// EstimatedLoad returns the number of requests at the upstream: the reported
// ones, corrected by what this entry has begun and ended since the report,
// times the square root of the number of entries. The other entries' requests
// since the report are unknown; counting its own ones more keeps an entry from
// adding to an upstream that the others are as likely to choose. The full
// number of entries made the estimate noisier and the first token later.
func (u *Upstream) EstimatedLoad() float64 {
	own := float64(u.inFlight.Load())
	return max(u.base+u.scale*own, own)
}

// OwnInReport returns how many of the reported requests are this entry's.
func (u *Upstream) OwnInReport() int { return min(u.included, u.Load.Running+u.Load.Queued) }

// fill returns the estimated load as a multiple of the batch size.
func (u *Upstream) fill() float64 { return u.EstimatedLoad() * u.perSlot }

// tableKey selects a pool. Pools of grouped hold only rank 0 of groups, which
// are the ones that receive requests; a group of eight would otherwise leave a
// sample with an eighth of its size.
type tableKey struct {
	service, model string
	grouped        bool
}

// pool holds the upstreams of one key, in the order of their
// ids. latency is the median of their observed latencies in seconds.
type pool struct {
	all     []*Upstream
	near    []*Upstream // in the entry's failure domain
	far     []*Upstream
	latency float64
}

// Table is an immutable set of upstreams, indexed by service and model.
type Table struct {
	pools  map[tableKey]*pool
	byID   map[string]*Upstream
	bySlot []*Upstream
	At     time.Time
}

// Len returns the number of upstreams.
func (t *Table) Len() int { return len(t.byID) }

// Upstream returns the upstream with an id, or nil.
func (t *Table) Upstream(id string) *Upstream { return t.byID[id] }

// Service returns the upstreams of a service in the order of their ids. The
// caller must not change the slice.
func (t *Table) Service(service string) []*Upstream {
	if p := t.pools[tableKey{service: service}]; p != nil {
		return p.all
	}
	return nil
}

// buildTable indexes candidates; slots and counters are given by their owner.
func buildTable(cfg *Config, now time.Time, candidates []Candidate, counters func(*Candidate) (*Counters, int32)) *Table {
	t := &Table{pools: map[tableKey]*pool{}, byID: make(map[string]*Upstream, len(candidates)), At: now}
	sorted := make([]*Upstream, 0, len(candidates))
	for _, c := range candidates {
		shared, slot := counters(&c)
		u := &Upstream{
			Candidate: c, Counters: shared, slot: slot,
			scale:    math.Sqrt(float64(cfg.Entries)),
			perSlot:  1 / float64(max(c.MaxConcurrent, 1)),
			at:       c.Load.At.UnixNano(),
			grouped:  c.Group.ConfirmedAt.UnixNano(),
			distance: distanceOf(cfg, &c),
		}
		u.included = int(shared.inFlightAt(c.Load.At))
		u.base = float64(c.Load.Running+c.Load.Queued) - u.scale*float64(u.included)
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
		p.latency = medianLatency(p.all)
	}
	return t
}

func (t *Table) index(u *Upstream) {
	for _, service := range u.Services {
		t.add(tableKey{service: service}, u)
		for i, m := range u.Models {
			if m.Name != "" && !namedBefore(u.Models[:i], m.Name) {
				t.add(tableKey{service: service, model: m.Name}, u)
			}
		}
	}
}

func namedBefore(models []Model, name string) bool {
	for i := range models {
		if models[i].Name == name {
			return true
		}
	}
	return false
}

func (t *Table) add(key tableKey, u *Upstream) {
	t.addTo(key, u)
	if u.Group.ID != "" && u.Group.Rank == 0 {
		key.grouped = true
		t.addTo(key, u)
	}
}

func (t *Table) addTo(key tableKey, u *Upstream) {
	p := t.pools[key]
	if p == nil {
		p = &pool{}
		t.pools[key] = p
	}
	p.all = append(p.all, u)
	if u.distance == ownDomain {
		p.near = append(p.near, u)
	} else {
		p.far = append(p.far, u)
	}
}

func medianLatency(us []*Upstream) float64 {
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
