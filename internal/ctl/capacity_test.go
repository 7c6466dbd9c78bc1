package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const groupsLog = `{"level":"info","ts":"2026-12-04T10:00:00.000Z","msg":"groups","instance":"core-a","service":"m","stages":{"large":{"serving":2}},"engines":{"large":{"serving":8},"":{"loading":1}},"work":{"large":1}}
{"level":"info","ts":"2026-12-04T10:00:02.000Z","msg":"groups","instance":"core-a","service":"m","stages":{"large":{"serving":1,"isolating":1}},"engines":{"large":{"serving":4,"isolating":1},"":{"free":3,"loading":1}},"work":{"large":3}}
{"level":"info","ts":"2026-12-04T10:00:30.000Z","msg":"groups","instance":"core-b","service":"m","stages":{"large":{"serving":2}},"engines":{"large":{"serving":8}},"work":{"large":2}}
`

func runCapacity(t *testing.T, args ...string) (string, int) {
	var out, errOut bytes.Buffer
	app, err := New(&out, &errOut)
	require.NoError(t, err)
	code := app.Run(t.Context(), append([]string{"capacity"}, args...))
	return out.String(), code
}

// Guards against a table that counts engines as used beyond the offered work, or
// lets a sample stand for the time in which there was no leader.
func TestCapacity(t *testing.T) {
	file := filepath.Join(t.TempDir(), "control.log")
	require.NoError(t, os.WriteFile(file, []byte(groupsLog), 0o600))
	text, code := runCapacity(t, "--period", "10s", file)
	require.Equal(t, ExitOK, code)
	var rows [][]string
	for line := range strings.Lines(text) {
		rows = append(rows, strings.Fields(line))
	}
	require.Equal(t, [][]string{
		{"service", "from", "model", "free", "idle", "isolating", "loading", "used"},
		// Without a group: 3 free and 1 loading for 6 s at most, 1 loading for 2 s.
		{"m", "0s", "(no", "group)", "18", "0", "0", "8", "0"},
		// Of 8 engines half are used for 2 s; 4 are used for 6 s.
		{"m", "0s", "large", "0", "8", "6", "0", "32"},
		{"m", "30s", "large", "0", "0", "0", "0", "48"},
	}, rows)
	_, code = runCapacity(t, os.DevNull)
	require.Equal(t, ExitError, code)
	_, code = runCapacity(t, "--period", "0s", file)
	require.Equal(t, ExitUsage, code)
}
