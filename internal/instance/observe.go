package instance

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// metricsHandler serves counters, gauges and histograms as text, one value a
// line.
func metricsHandler(registry metrics.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		registry.Each(func(name string, metric any) { writeMetric(w, strings.ReplaceAll(name, ".", "_"), metric) })
	})
	return mux
}

// quantiles of histograms that are served.
var quantiles = []float64{0.5, 0.9, 0.99}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s %d\n", name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s %d\n", name, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		fmt.Fprintf(w, "%s_count %d\n", name, s.Count())
		for n, value := range s.Percentiles(quantiles) {
			fmt.Fprintf(w, "%s{quantile=\"%v\"} %.0f\n", name, quantiles[n], value)
		}
	}
}

// quietHTTP passes the HTTP library's lines on at debug level: each aborted
// request has a line of its own.
func quietHTTP(logger *zap.Logger) *log.Logger {
	out, err := zap.NewStdLogAt(logger, zap.DebugLevel)
	if err != nil {
		return log.New(io.Discard, "", 0)
	}
	return out
}
