package instance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const controlSettings = `{
  // A control instance.
  "id": "10.1.0.43", "name": "core-1", "failureDomain": "a",
  "listen": {"control": "10.1.0.43:8229", "metrics": "10.1.0.43:9464",},
  "peerPort": 7340, "seeds": ["10.1.0.43:8229", "10.2.0.31:8229"], "bootstrap": true,
  "dataFolder": "/data/x", "heartbeatMs": 1200, "stallMs": 6000, "memoryMb": 280,
  "drain": {"graceMs": 8000}, "retryBudget": {"ratio": 0.2, "allowance": 132, "windowMs": 10000},
}`

// Guards against parsing a settings file incorrectly.
func TestParse(t *testing.T) {
	s, err := Parse("file", []byte(controlSettings))
	require.NoError(t, err)
	require.Equal(t, []string{"10.1.0.43", "10.2.0.31"}, s.seedIDs())
	require.True(t, s.Bootstrap)
	require.Equal(t, "info", s.LogLevel)
}

// Guards against starting with invalid settings. The error must name the key.
func TestRefusesSettings(t *testing.T) {
	for key, change := range map[string]func(*Settings){
		"id":            func(s *Settings) { s.ID = "core-1" },
		"failureDomain": func(s *Settings) { s.FailureDomain = "" },
		"peerPort":      func(s *Settings) { s.PeerPort = 70000 },
		"seeds":         func(s *Settings) { s.Seeds = []string{"10.1.0.43"} },
		"listen":        func(s *Settings) { s.Listen = Listen{} },
		"dataFolder":    func(s *Settings) { s.DataFolder = "" },
		"heartbeatMs":   func(s *Settings) { s.HeartbeatMS = 0 },
		"stallMs":       func(s *Settings) { s.StallMS = -1 },
		"drain.graceMs": func(s *Settings) { s.Drain.GraceMS = 0 },
		"retryBudget":   func(s *Settings) { s.RetryBudget.Ratio = -1 },
		"windowMs":      func(s *Settings) { s.RetryBudget.WindowMS = 0 },
	} {
		s, err := Parse("file", []byte(controlSettings))
		require.NoError(t, err)
		change(s)
		require.ErrorContains(t, s.validate(), key)
	}
	_, err := Parse("file", []byte(`{"id": "10.0.0.1", "unknown": 1}`))
	require.ErrorContains(t, err, "unknown")
	_, err = Parse("file", []byte(`{"id": `))
	require.Error(t, err)
}
