package grouppolicy

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
	"time"
)

// topology describes the size of a deployment.
type topology struct {
	// fabrics holds the number of instances per fabric domain, for each failure
	// domain.
	fabrics      [][]int
	groupSize    int
	accelerators int     // per instance
	weightBytes  float64 // loaded by each instance
	storeRate    float64 // bytes per second, for each failure domain
}

// Deployment sizes.
const (
	Today   = "today"
	Planned = "planned"
)

func topologyOf(size string) topology {
	if size == Planned {
		t := topology{groupSize: 8, accelerators: 2, weightBytes: 40e9, storeRate: 4e9}
		for range 5 {
			t.fabrics = append(t.fabrics, slices.Repeat([]int{35}, 12))
		}
		return t
	}
	return topology{fabrics: [][]int{{11, 11}, {11, 11}, {11, 10}}, groupSize: 2, accelerators: 2, weightBytes: 20e9, storeRate: 1e9}
}

func (t topology) instanceCount() int {
	n := 0
	for _, domain := range t.fabrics {
		for _, size := range domain {
			n += size
		}
	}
	return n
}

// maxGroups returns the number of groups that fit into the fabric domains of a
// failure domain.
func (t topology) maxGroups(domain int) int {
	n := 0
	for _, size := range t.fabrics[domain] {
		n += size / t.groupSize
	}
	return n
}

type faultKind int

const (
	crash   faultKind = iota // stops the process, which restarts with a new incarnation
	restart                  // drains, then stops and restarts the process
	pause                    // suspends reports and work without loss of state
)

// fault affects one instance. The failure of a fabric domain or a failure domain
// consists of simultaneous faults of its instances.
type fault struct {
	at       time.Duration
	kind     faultKind
	instance int
	duration time.Duration
}

// Fault rates of a deployment with plannedInstances instances. The numbers of
// faults are scaled to the size of the deployment.
const (
	crashesPerDay  = 42
	restartsPerDay = 130
	pausesPerDay   = 84
	// flappingPerDay instances crash crashesPerFlap times within about an hour.
	flappingPerDay   = 4
	crashesPerFlap   = 8
	plannedInstances = 2100
	// drainTime is the time from the announcement of a restart until the process
	// stops.
	drainTime          = 40 * time.Second
	daysPerFabricFault = 45
	daysPerDomainFault = 60
)

// generateTrace returns the faults of a run in chronological order. A run of a
// week or more includes at least one failure of a fabric domain and one of a
// failure domain.
func generateTrace(rng *rand.Rand, t topology, days int) []fault {
	var faults []fault
	total := time.Duration(days) * 24 * time.Hour
	randomTime := func() time.Duration { return time.Duration(rng.Int63n(int64(total))) }
	logUniform := func(low, high time.Duration) time.Duration {
		return time.Duration(math.Exp(math.Log(float64(low)) + rng.Float64()*math.Log(float64(high)/float64(low))))
	}
	instances := t.instanceCount()
	addFaults := func(perDay float64, kind faultKind, low, high time.Duration) {
		count := int(math.Round(perDay * float64(days) * float64(instances) / plannedInstances))
		for range count {
			faults = append(faults, fault{randomTime(), kind, rng.Intn(instances), logUniform(low, high)})
		}
	}
	addFaults(crashesPerDay, crash, 2*time.Minute, 2*time.Hour)
	addFaults(restartsPerDay, restart, 30*time.Second, 5*time.Minute)
	addFaults(pausesPerDay, pause, 3*time.Second, 2*time.Minute)
	flapping := int(math.Round(flappingPerDay * float64(days) * float64(instances) / plannedInstances))
	for range flapping {
		at, i := randomTime(), rng.Intn(instances)
		for range crashesPerFlap {
			faults = append(faults, fault{at, crash, i, logUniform(20*time.Second, 2*time.Minute)})
			at += logUniform(2*time.Minute, 10*time.Minute)
		}
	}
	failTogether := func(first, count int, kind faultKind, duration time.Duration) {
		at := randomTime()
		for i := range count {
			faults = append(faults, fault{at, kind, first + i, duration})
		}
	}
	minCorrelated := 0
	if days >= 7 {
		minCorrelated = 1
	}
	for range max(minCorrelated, days/daysPerFabricFault) {
		first, size := t.randomFabricDomain(rng)
		failTogether(first, size, []faultKind{crash, pause}[rng.Intn(2)], logUniform(time.Minute, time.Hour))
	}
	for range max(minCorrelated, days/daysPerDomainFault) {
		first, size := t.domainRange(rng.Intn(len(t.fabrics)))
		failTogether(first, size, pause, logUniform(time.Minute, 30*time.Minute))
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return faults
}

// randomFabricDomain returns the index of the first instance of a fabric domain
// and the number of its instances.
func (t topology) randomFabricDomain(rng *rand.Rand) (first, size int) {
	domain := rng.Intn(len(t.fabrics))
	first, _ = t.domainRange(domain)
	chosen := rng.Intn(len(t.fabrics[domain]))
	for _, n := range t.fabrics[domain][:chosen] {
		first += n
	}
	return first, t.fabrics[domain][chosen]
}

// domainRange returns the index of the first instance of a failure domain and
// the number of its instances.
func (t topology) domainRange(domain int) (first, size int) {
	for d, fabrics := range t.fabrics[:domain+1] {
		first += size
		size = 0
		for _, n := range fabrics {
			size += n
		}
		_ = d
	}
	return first, size
}
