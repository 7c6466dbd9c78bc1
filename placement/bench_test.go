package placement

import (
	"testing"
	"time"
)

// BenchmarkPlan measures one planning round for 2,100 engines in fabric domains
// of 20, in which some domains have lost engines.
func BenchmarkPlan(b *testing.B) {
	s := newSimulation(b, 1, 105, 20)
	s.run(30 * time.Second)
	s.traffic = true
	s.run(5 * time.Second)
	for n, e := range s.engines {
		if n%50 == 0 {
			s.kill(e)
		}
	}
	s.run(2 * time.Second)
	upstreams := s.table.All()
	for b.Loop() {
		s.now = s.now.Add(100 * time.Millisecond)
		s.planner.Observe(s.now, upstreams)
		s.planner.Plan(s.now)
	}
}
