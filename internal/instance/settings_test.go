package instance

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

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

// Guards against an instance that does not start because a value of the platform is no
// whole number, with the template of the deployment.
func TestFractionsInTheTemplate(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.jsonc")
	require.NoError(t, err)
	for _, fractional := range []bool{false, true} {
		values := map[string]string{"ip": `"10.1.0.40"`, "node_name": `"n"`, "zone": `"z"`, "internal_ports.0": "7340", "bootstrap": "true",
			"heartbeat_ms": "1200", "bounds.stall_ms": "6000", "limits.memory_mb": "284", "limits.max_fds": "4100", "bounds.grace_s": "8",
			"bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "132", "bounds.budget_window_s": "10"}
		if fractional {
			for _, name := range []string{"heartbeat_ms", "bounds.stall_ms", "limits.memory_mb", "limits.max_fds", "bounds.grace_s", "bounds.budget_slack", "bounds.budget_window_s"} {
				values[name] += ".5"
			}
		}
		text := strings.NewReplacer("{{#limits.max_fds}}", "", "{{/limits.max_fds}}", "").Replace(string(template))
		for name, value := range values {
			text = strings.ReplaceAll(text, "{{"+name+"|json}}", value)
		}
		text = strings.ReplaceAll(text, `{{#seeds}}{{.|json}}{{,}}{{/seeds}}`, `"10.1.0.43:8229"`)
		text = strings.ReplaceAll(text, `{{#listen.front}}"caller": {{listen.front|json}},{{/listen.front}}`, `"caller": "10.1.0.40:8227",`)
		// The rest are sections without a value.
		text = regexp.MustCompile(`(?s)\{\{#.*?\{\{/[a-z_.]+\}\}`).ReplaceAllString(text, "")
		text = strings.ReplaceAll(text, "{{ip}}", "10.1.0.40")
		s, err := Parse("template", []byte(text))
		require.NoError(t, err, text)
		grace, window := 8*time.Second, 10*time.Second
		if fractional {
			grace, window = 8500*time.Millisecond, 10500*time.Millisecond
		}
		require.InDelta(t, 4100, s.MaxDescriptors, 0.5)
		require.Equal(t, grace, milliseconds(s.Drain.GraceMS))
		require.Equal(t, window, milliseconds(s.RetryBudget.WindowMS))
	}
}
