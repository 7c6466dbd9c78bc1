// Package control measures the control-plane load of a daemon without callers as
// a function of the numbers of upstreams, daemons, limits and settings nodes, and
// fits a line to each. Production registries, share nodes, routing tables and
// settings trees run in simulated time and exchange encoded messages. Small
// clusters of real daemons serve as a check of the simulation.
package control

import (
	"context"

	"github.com/bluebellfield/bluebellfield/internal/bench"
)

// Experiment is run by bluebellctl bench control.
var Experiment = bench.Experiment{
	Name: "control", Description: "Bytes, CPU time and memory of a daemon's control work against its size", Run: run,
}

// Control-plane budget of a daemon.
const (
	maxBytesPerSecond = 21_000
	maxCorePercent    = 2.3
	maxMegabytes      = 64
)

// Size of the planned deployment.
const (
	plannedDomains         = 5
	plannedDomainDaemons   = 80
	plannedDomainUpstreams = 420
	plannedDaemons         = plannedDomains * plannedDomainDaemons
	plannedUpstreams       = plannedDomains * plannedDomainUpstreams
	plannedLimits          = 1000
	plannedSettingsNodes   = 5000
)

// point is the usage measured at one value of the varied parameter.
type point struct {
	x float64
	usage
}

// parameterSweep holds the usage measured at several values of one parameter,
// and the lines fitted to it.
type parameterSweep struct {
	Name   string               `json:"name"`
	Points []point              `json:"-"`
	Fits   map[string]bench.Fit `json:"fits"`
}

func (s *parameterSweep) add(x int, u usage) { s.Points = append(s.Points, point{float64(x), u}) }

// tables fits the lines and returns the points and the fits.
func (s *parameterSweep) tables() []bench.Table {
	points := bench.Table{Title: "against " + s.Name, Columns: []string{s.Name, "payload B/s", "framed B/s", "wire B/s", "% core", "MB"}}
	var x []float64
	for _, p := range s.Points {
		x = append(x, p.x)
		points.AddRow(p.x, p.Payload, p.Framed, p.Wire, p.CorePercent, p.Megabytes)
	}
	fits := bench.Table{Title: "fits against " + s.Name, Columns: []string{"measure", "slope", "intercept", "r²"}}
	s.Fits = map[string]bench.Fit{}
	for _, m := range []struct {
		name  string
		value func(point) float64
	}{
		{"framed B/s", func(p point) float64 { return p.Framed }},
		{"wire B/s", func(p point) float64 { return p.Wire }},
		{"% core", func(p point) float64 { return p.CorePercent }},
		{"MB", func(p point) float64 { return p.Megabytes }},
	} {
		var y []float64
		for _, p := range s.Points {
			y = append(y, m.value(p))
		}
		f := bench.FitLine(x, y)
		s.Fits[m.name] = f
		fits.AddRow(m.name, f.Slope, f.Intercept, f.R2)
	}
	return []bench.Table{points, fits}
}

// experimentRun collects the results of one run.
type experimentRun struct {
	options bench.Options
	result  *bench.Result
	sweeps  []*parameterSweep
}

func (r *experimentRun) sweep(name string, sizes []int, measure func(n int) (usage, error)) (*parameterSweep, error) {
	s := &parameterSweep{Name: name}
	for _, n := range sizes {
		r.options.ReportProgress("%s %d", name, n)
		u, err := measure(n)
		if err != nil {
			return nil, err
		}
		s.add(n, u)
	}
	r.result.Tables = append(r.result.Tables, s.tables()...)
	r.sweeps = append(r.sweeps, s)
	return s, nil
}

func run(ctx context.Context, o bench.Options) (*bench.Result, error) {
	r := &experimentRun{options: o, result: &bench.Result{}}
	seconds := bench.ShortOrFull(o, 2, 10)
	_, err := r.sweep("upstreams (simulated, membership, 20 daemons)", []int{65, 130, 260, 420}, func(n int) (usage, error) {
		return measureMembership(o.Seed, topology{1, 20, n}, seconds)
	})
	if err != nil {
		return nil, err
	}
	_, err = r.sweep("daemons of a failure domain (simulated, membership, 420 upstreams)", []int{7, 20, 40, 80}, func(n int) (usage, error) {
		return measureMembership(o.Seed, topology{1, n, plannedDomainUpstreams}, seconds)
	})
	if err != nil {
		return nil, err
	}
	total, err := r.measureParts(seconds)
	if err != nil {
		return nil, err
	}
	if err := r.measureRealDaemons(ctx, seconds); err != nil {
		return nil, err
	}
	r.result.AtMost("bytes/s of a daemon at the planned size, framed, both directions", total.Framed, maxBytesPerSecond, "")
	r.result.AtMost("bytes/s of a daemon at the planned size, with TCP/IP headers, both directions", total.Wire, maxBytesPerSecond, "")
	r.result.AtMost("% of a core of a daemon at the planned size", total.CorePercent, maxCorePercent, "")
	r.result.AtMost("MB of a daemon at the planned size", total.Megabytes, maxMegabytes, "")
	r.result.Details = r.sweeps
	return r.result, nil
}

// measureParts measures each part up to the planned size and returns the sum at
// that size.
func (r *experimentRun) measureParts(seconds int) (usage, error) {
	var publishSweep, capacitySweep *parameterSweep
	sizes := []int{65, 420, 1050, plannedUpstreams}
	publishSweep = &parameterSweep{Name: "upstreams (routing table, as often as the daemon builds it)"}
	capacitySweep = &parameterSweep{Name: "upstreams (capacity of one service for admission, five times a second)"}
	for _, n := range sizes {
		r.options.ReportProgress("tables of %d upstreams", n)
		publish, capacity, err := measureTables(n)
		if err != nil {
			return usage{}, err
		}
		publishSweep.add(n, publish)
		capacitySweep.add(n, capacity)
	}
	r.result.Tables = append(append(r.result.Tables, publishSweep.tables()...), capacitySweep.tables()...)
	r.sweeps = append(r.sweeps, publishSweep, capacitySweep)
	shares, err := r.sweepShares(seconds)
	if err != nil {
		return usage{}, err
	}
	nodes, err := r.sweep("settings nodes (10,000 changes a day)", []int{10, 100, 1000, plannedSettingsNodes}, func(n int) (usage, error) {
		c, err := measureSettings(n)
		return c.usage, err
	})
	if err != nil {
		return usage{}, err
	}
	planned := topology{plannedDomains, plannedDomainDaemons, plannedDomainUpstreams}
	if r.options.Short {
		planned = topology{plannedDomains, 8, 42}
	}
	r.options.ReportProgress("membership of %d daemons and %d upstreams", planned.domains*planned.daemons, planned.domains*planned.upstreams)
	members, err := measureMembership(r.options.Seed, planned, bench.ShortOrFull(r.options, 2, 4))
	if err != nil {
		return usage{}, err
	}
	return r.sumParts(members, shares, publishSweep.last(), capacitySweep.last(), nodes.last()), nil
}

func (s *parameterSweep) last() usage { return s.Points[len(s.Points)-1].usage }

func (r *experimentRun) sweepShares(seconds int) (usage, error) {
	owners := bench.Table{Title: "daemon with the most traffic for limits (an owner)", Columns: []string{"daemons", "limits", "wire B/s"}}
	busiestOwner := map[int]float64{}
	measure := func(daemons, limits int) (usage, error) {
		u, peak, err := measureShares(daemons, limits, seconds)
		busiestOwner[daemons] = max(busiestOwner[daemons], peak)
		owners.AddRow(daemons, limits, peak)
		return u, err
	}
	if _, err := r.sweep("limits (simulated, shares, 80 daemons, 20 limits in use at each)", []int{10, 100, 1000, 5000}, func(n int) (usage, error) {
		return measure(80, n)
	}); err != nil {
		return usage{}, err
	}
	s, err := r.sweep("daemons (simulated, shares, 1,000 limits)", []int{20, 80, 200, plannedDaemons}, func(n int) (usage, error) {
		return measure(n, plannedLimits)
	})
	if err != nil {
		return usage{}, err
	}
	r.result.Tables = append(r.result.Tables, owners)
	r.result.AtMost("bytes/s for limits of the busiest owner among 400 daemons, with TCP/IP headers", busiestOwner[plannedDaemons], maxBytesPerSecond, "")
	return s.last(), nil
}

// sumParts adds up the parts at the planned size and adds their table.
func (r *experimentRun) sumParts(members, shares, publish, capacity, nodes usage) usage {
	t := bench.Table{Title: "one daemon at the planned size", Columns: []string{"part", "payload B/s", "framed B/s", "wire B/s", "% core", "MB"}}
	var total usage
	for _, p := range []struct {
		name string
		usage
	}{
		{"membership and heartbeats", members}, {"shares of limits, average", shares}, {"routing table", publish},
		{"capacity of one service", capacity}, {"settings", nodes},
	} {
		t.AddRow(p.name, p.Payload, p.Framed, p.Wire, p.CorePercent, p.Megabytes)
		total.Payload += p.Payload
		total.Framed += p.Framed
		total.Wire += p.Wire
		total.CorePercent += p.CorePercent
		total.Megabytes += p.Megabytes
	}
	connections := plannedDaemons - 1
	t.AddRow("of which keep-alive", "", keepAliveBytesPerSecond(connections, false), keepAliveBytesPerSecond(connections, true), "", "")
	t.AddRow("sum", total.Payload, total.Framed, total.Wire, total.CorePercent, total.Megabytes)
	r.result.Tables = append(r.result.Tables, t)
	return total
}

// measureRealDaemons compares the traffic between real daemons with the
// simulation.
func (r *experimentRun) measureRealDaemons(ctx context.Context, seconds int) error {
	t := bench.Table{Title: "real daemons without callers in one process with their upstreams", Columns: []string{
		"daemons", "upstreams", "peer B/s, no voter", "peer B/s, voter", "simulated membership B/s", "% core with upstreams", "MB with upstreams"}}
	sizes := [][2]int{{7, 10}, {7, 65}, {7, 130}, {14, 65}, {20, 65}}
	if r.options.Short {
		sizes = sizes[:1]
	}
	for _, s := range sizes {
		r.options.ReportProgress("%d real daemons with %d upstreams", s[0], s[1])
		u, err := measureReal(ctx, r.options.Seed, s[0], s[1], seconds)
		if err != nil {
			return err
		}
		t.AddRow(u.Daemons, u.Upstreams, u.PeerRate, u.VoterPeerRate, u.SimulatedPeerRate, u.CorePercent, u.Megabytes)
	}
	r.result.Tables = append(r.result.Tables, t)
	return nil
}
