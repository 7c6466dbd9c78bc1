package grouppolicy

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
	"time"
)

// shape is the size of a deployment.
type shape struct {
	// fabrics holds the number of instances of each fabric domain of each
	// failure domain.
	fabrics      [][]int
	groupSize    int
	accelerators int     // of each instance
	weightBytes  float64 // that one instance loads
	storeRate    float64 // share of each failure domain, bytes per second
}

// Sizes of deployments.
const (
	Today   = "today"
	Planned = "planned"
)

func shapeOf(size string) shape {
	if size == Planned {
		s := shape{groupSize: 8, accelerators: 2, weightBytes: 40e9, storeRate: 4e9}
		for range 5 {
			s.fabrics = append(s.fabrics, slices.Repeat([]int{35}, 12))
		}
		return s
	}
	return shape{fabrics: [][]int{{11, 11}, {11, 11}, {11, 10}}, groupSize: 2, accelerators: 2, weightBytes: 20e9, storeRate: 1e9}
}

func (s shape) instances() int {
	n := 0
	for _, domain := range s.fabrics {
		for _, size := range domain {
			n += size
		}
	}
	return n
}

// groups is the number of groups that a failure domain's fabric domains hold.
func (s shape) groups(domain int) int {
	n := 0
	for _, size := range s.fabrics[domain] {
		n += size / s.groupSize
	}
	return n
}

type faultKind int

const (
	crash   faultKind = iota // ends the process; a new incarnation comes later
	restart                  // drains, then ends and starts the process again
	pause                    // no report and no work, then as if nothing happened
)

// fault hits one instance. Racks and failure domains are many faults at once.
type fault struct {
	at       time.Duration
	kind     faultKind
	instance int
	length   time.Duration
}

// Rates for 2,100 instances and one day; smaller deployments have their share.
const (
	crashesPerDay  = 42
	restartsPerDay = 130
	pausesPerDay   = 84
	// flappingPerDay instances crash flapCrashes times within about an hour.
	flappingPerDay = 4
	flapCrashes    = 8
	plannedSize    = 2100
	// drainTime is the time from the announcement of a restart to its start.
	drainTime = 40 * time.Second
	rackDays  = 45
	domainDay = 60
)

// trace returns the faults of a run in order. A run of a week or more has at
// least one fabric domain and one failure domain that go dark.
func trace(rng *rand.Rand, s shape, days int) []fault {
	var list []fault
	total := time.Duration(days) * 24 * time.Hour
	when := func() time.Duration { return time.Duration(rng.Int63n(int64(total))) }
	between := func(low, high time.Duration) time.Duration {
		return time.Duration(math.Exp(math.Log(float64(low)) + rng.Float64()*math.Log(float64(high)/float64(low))))
	}
	n := s.instances()
	add := func(perDay float64, kind faultKind, low, high time.Duration) {
		count := int(math.Round(perDay * float64(days) * float64(n) / plannedSize))
		for range count {
			list = append(list, fault{when(), kind, rng.Intn(n), between(low, high)})
		}
	}
	add(crashesPerDay, crash, 2*time.Minute, 2*time.Hour)
	add(restartsPerDay, restart, 30*time.Second, 5*time.Minute)
	add(pausesPerDay, pause, 3*time.Second, 2*time.Minute)
	flapping := int(math.Round(flappingPerDay * float64(days) * float64(n) / plannedSize))
	for range flapping {
		at, i := when(), rng.Intn(n)
		for range flapCrashes {
			list = append(list, fault{at, crash, i, between(20*time.Second, 2*time.Minute)})
			at += between(2*time.Minute, 10*time.Minute)
		}
	}
	dark := func(first, count int, kind faultKind, length time.Duration) {
		at := when()
		for i := range count {
			list = append(list, fault{at, kind, first + i, length})
		}
	}
	atLeast := 0
	if days >= 7 {
		atLeast = 1
	}
	for range max(atLeast, days/rackDays) {
		first, size := s.fabric(rng)
		dark(first, size, []faultKind{crash, pause}[rng.Intn(2)], between(time.Minute, time.Hour))
	}
	for range max(atLeast, days/domainDay) {
		first, size := s.domain(rng.Intn(len(s.fabrics)))
		dark(first, size, pause, between(time.Minute, 30*time.Minute))
	}
	slices.SortStableFunc(list, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return list
}

func (s shape) fabric(rng *rand.Rand) (first, size int) {
	domain := rng.Intn(len(s.fabrics))
	first, _ = s.domain(domain)
	chosen := rng.Intn(len(s.fabrics[domain]))
	for _, n := range s.fabrics[domain][:chosen] {
		first += n
	}
	return first, s.fabrics[domain][chosen]
}

func (s shape) domain(domain int) (first, size int) {
	for d, fabrics := range s.fabrics[:domain+1] {
		first += size
		size = 0
		for _, n := range fabrics {
			size += n
		}
		_ = d
	}
	return first, size
}
