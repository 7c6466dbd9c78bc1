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

// metricsHandler serves counters, gauges and histograms as text, one value per
// line.
func metricsHandler(registry metrics.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		registry.Each(func(name string, metric any) { writeMetric(w, strings.ReplaceAll(name, ".", "_"), metric) })
	})
	return mux
}

// quantiles are the exported quantiles of histograms.
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

// debugHTTPLogger returns a logger for net/http that writes at debug level,
// because net/http logs a line for each aborted request.
func debugHTTPLogger(logger *zap.Logger) *log.Logger {
	out, err := zap.NewStdLogAt(logger, zap.DebugLevel)
	if err != nil {
		return log.New(io.Discard, "", 0)
	}
	return out
}
