package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func newDetector(n int) (*Detector, []string) {
	d := New(Config{})
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("u%02d", i))
	}
	d.SetUpstreams(start, "s", ids)
	return d, ids
}

// Each cause must eject at its threshold and not below it.
func TestEjectionCauses(t *testing.T) {
	repeat := func(n int, r Result) []Result {
		var all []Result
		for range n {
			all = append(all, r)
		}
		return all
	}
	cases := []struct {
		name    string
		results []Result
		share   int
		cause   Cause
	}{
		{"reset", repeat(1, Reset), 0, CauseReset},
		{"stall", repeat(1, Stall), 0, CausePause},
		{"consecutive failures", repeat(5, Failure), 0, CauseFailures},
		{"consecutive timeouts", repeat(3, Timeout), 0, CauseTimeouts},
		{"too few failures", repeat(4, Failure), FullShare, ""},
		{"too few timeouts", repeat(2, Timeout), FullShare, ""},
		{"failures that are not consecutive", append(append(repeat(4, Failure), Success), repeat(4, Failure)...), FullShare, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, ids := newDetector(10)
			for _, r := range c.results {
				d.Observe(start, "s", ids[0], r, time.Millisecond)
			}
			require.Equal(t, c.share, d.Share("s", ids[0]))
			if c.share == 0 {
				require.Equal(t, c.cause, d.Status()[0].Cause)
			}
		})
	}
}

// Heartbeats must not keep an upstream from being ejected if its requests time
// out.
func TestHealthyHeartbeatsDoNotHideTimeouts(t *testing.T) {
	d, ids := newDetector(10)
	for i := range 3 {
		now := start.Add(time.Duration(i) * time.Second)
		for _, id := range ids {
			require.Empty(t, d.RecordHeartbeat(now, "s", id))
		}
		d.Observe(now, "s", ids[0], Timeout, 0)
	}
	require.Equal(t, 0, d.Share("s", ids[0]))
}

// An upstream that returns after a pause must not get its full traffic at once.
func TestPauseIsReadmittedInSteps(t *testing.T) {
	d, ids := newDetector(10)
	now := start.Add(4 * time.Second)
	require.Equal(t, []Change{{"s", ids[0], 0, CausePause}}, d.RecordHeartbeat(now, "s", ids[0]))
	var shares []int
	for range 25 {
		now = now.Add(time.Second)
		for _, id := range ids[:1] {
			d.RecordHeartbeat(now, "s", id)
		}
		for _, c := range d.Tick(now) {
			shares = append(shares, c.Share)
		}
	}
	require.Equal(t, []int{100, 250, 500, 1000}, shares)
	require.Equal(t, FullShare, d.Share("s", ids[0]))
}

// A slow upstream must be ejected, but not one with a single slow request, nor
// any upstream if all have become slow.
func TestLatencyAgainstPeers(t *testing.T) {
	cases := []struct {
		name    string
		latency func(upstream, request int) time.Duration
		ejected int
	}{
		{"all alike", func(u, r int) time.Duration { return time.Duration(100+u+r) * time.Millisecond }, 0},
		{"one slow", func(u, _ int) time.Duration { return time.Duration(100+400*(1-min(u, 1))) * time.Millisecond }, 1},
		{"one slow request", func(u, r int) time.Duration {
			if u == 0 && r == 3 {
				return time.Minute
			}
			return 100 * time.Millisecond
		}, 0},
		{"all slow", func(u, _ int) time.Duration { return 10 * time.Second }, 0},
		{"half slow", func(u, _ int) time.Duration { return time.Duration(100+200*(u%2)) * time.Millisecond }, 3},
		{"slower by little", func(u, _ int) time.Duration { return time.Duration(10+30*(1-min(u, 1))) * time.Millisecond }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, ids := newDetector(10)
			for r := range 10 {
				for u, id := range ids {
					d.Observe(start, "s", id, Success, c.latency(u, r))
				}
			}
			d.Tick(start)
			require.Len(t, d.Status(), c.ejected)
		})
	}
}

// After any sequence of faults, ejections must stay within the limit, the last
// upstream must not be ejected, and a healthy upstream must be readmitted
// within MaxReadmissionTime.
func TestEjectionLimitAndReadmission(t *testing.T) {
	const tick = time.Second
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "upstreams")
		d, ids := newDetector(n)
		now := start
		check := func() {
			ejected := 0
			for _, id := range ids {
				if d.Share("s", id) == 0 {
					ejected++
				}
			}
			if limit := max(1, n*3/10); ejected > limit || ejected >= n {
				t.Fatalf("%d of %d upstreams are ejected, limit %d", ejected, n, limit)
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "upstream")]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				n = rapid.IntRange(1, 20).Draw(t, "upstreams")
				_, ids = newDetector(n)
				d.SetUpstreams(now, "s", ids)
			case 1, 2:
				now = now.Add(tick)
				d.Tick(now)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "seconds")) * time.Second)
				d.RecordHeartbeat(now, "s", id)
			default:
				result := Result(rapid.IntRange(0, 4).Draw(t, "result"))
				latency := time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
				for range rapid.IntRange(1, 10).Draw(t, "times") {
					d.Observe(now, "s", id, result, latency)
				}
			}
			check()
		}
		// The faults end: all upstreams send heartbeats and answers.
		for _, id := range ids {
			d.RecordHeartbeat(now, "s", id)
		}
		end := now.Add(DefaultConfig().MaxReadmissionTime(tick))
		for now.Before(end) {
			now = now.Add(tick)
			for _, id := range ids {
				d.RecordHeartbeat(now, "s", id)
				d.Observe(now, "s", id, Success, 100*time.Millisecond)
			}
			d.Tick(now)
			check()
		}
		if status := d.Status(); len(status) != 0 {
			t.Fatalf("upstreams not readmitted: %v", status)
		}
	})
}

// BenchmarkTick compares all upstreams of a service, each with a full latency
// buffer.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{65, 420} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			d, ids := newDetector(n)
			for i := range maxSamples {
				for j, id := range ids {
					d.Observe(start, "s", id, Success, time.Duration(100+(i*j)%7)*time.Millisecond)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				d.Tick(start)
			}
		})
	}
}
