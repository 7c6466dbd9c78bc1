package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func get(h http.Handler, method, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w
}

// A daemon that is starting or draining must report not ready, so that it gets no
// requests. It must still report live, so that it is not restarted.
func TestReadiness(t *testing.T) {
	p := NewProbe(metrics.NewRegistry())
	h := p.Handler()
	for _, c := range []struct {
		name  string
		ready bool
		want  int
	}{
		{"starting", false, http.StatusServiceUnavailable},
		{"ready", true, http.StatusOK},
		{"draining", false, http.StatusServiceUnavailable},
	} {
		p.SetReady(c.ready)
		require.Equal(t, c.ready, p.Ready(), c.name)
		require.Equal(t, c.want, get(h, "GET", "/readyz").Code, c.name)
		require.Equal(t, http.StatusOK, get(h, "GET", "/livez").Code, c.name)
	}
	require.Equal(t, http.StatusMethodNotAllowed, get(h, "POST", "/readyz").Code)
	require.Equal(t, http.StatusNotFound, get(h, "GET", "/").Code)
}

// Metrics must be served as JSON that a collector can decode.
func TestMetrics(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests", registry).Inc(3)
	w := get(NewProbe(registry).Handler(), "GET", "/metrics")
	require.Equal(t, "application/json", w.Header().Get("Content-Type"))
	var got map[string]map[string]int
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
	require.Equal(t, 3, got["requests"]["count"])
}
