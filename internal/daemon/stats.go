package daemon

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
)

// requestStats records metrics of finished requests by class and outcome.
type requestStats struct {
	registry metrics.Registry
}

func newRequestStats(registry metrics.Registry) *requestStats { return &requestStats{registry} }

func (s *requestStats) observe(f caller.Finished) {
	class := string(f.Account.Class)
	if class == "" {
		class = "unknown"
	}
	metrics.GetOrRegisterCounter("requests."+class+"."+string(f.Outcome), s.registry).Inc(1)
	if f.Attempts > 1 {
		metrics.GetOrRegisterCounter("requests.retries", s.registry).Inc(int64(f.Attempts - 1))
	}
	s.timer("requests.duration_us."+class, f.Duration)
	if f.FirstByte > 0 {
		s.timer("requests.first_byte_us."+class, f.FirstByte)
	}
	if f.Tokens > 0 {
		metrics.GetOrRegisterMeter("tokens."+class, s.registry).Mark(int64(f.Tokens))
	}
}

func (s *requestStats) timer(name string, d time.Duration) {
	sample := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015)) }
	s.registry.GetOrRegister(name, sample).(metrics.Histogram).Update(d.Microseconds())
}
