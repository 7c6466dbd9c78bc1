package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// stats holds the counters and latency histograms of an entry.
type stats struct {
	served, refused, failed, rejected, abandoned metrics.Counter
	moved, retried, stalls                       metrics.Counter
	held, quarantined                            metrics.Counter
	leaving, pauses                              metrics.Counter
	firstByte, total                             metrics.Histogram
}

// Parameters that the metrics library recommends for a sample that represents
// the last five minutes.
const (
	sampleSize = 1028
	sampleBias = 0.015
)

func newStats(r metrics.Registry) *stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleBias))
	}
	return &stats{
		served: counter("requests.served"), refused: counter("requests.refused"), failed: counter("requests.failed"),
		rejected: counter("requests.rejected"), abandoned: counter("requests.abandoned"),
		moved: counter("streams.moved"), retried: counter("sends.repeated"), stalls: counter("groups.stalls_seen"),
		held: counter("requests.held"), quarantined: counter("requests.quarantined"),
		leaving: counter("upstreams.leaving"), pauses: counter("upstreams.pauses"),
		firstByte: histogram("latency.first_byte_ms"), total: histogram("latency.total_ms"),
	}
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }
