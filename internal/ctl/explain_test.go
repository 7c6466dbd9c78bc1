package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const entryLog = `  7.4 front-a {"level":"info","ts":"2026-12-04T10:00:01.000Z","msg":"instance started","instance":"front-a","id":"10.0.0.1"}
{"level":"info","ts":"2026-12-04T10:00:05.000Z","msg":"request","instance":"front-a","request":"r1","outcome":"refused","status":503,"ms":0,"catalog":7,"service":"m","model":"m0","reason":"all upstreams are full"}
{"level":"info","ts":"2026-12-04T10:00:06.000Z","msg":"request","instance":"front-a","request":"r2","outcome":"failed","status":502,"ms":900,"catalog":7,"service":"m","sends":[{"upstream":"i-1","group":"g1","result":"no event for 800 ms"},{"upstream":"i-2","group":"g2","result":"stream broke after event 4"}]}
{"level":"info","ts":"2026-12-04T10:00:05.600Z","msg":"group stands still","instance":"front-a","group":"g1","epoch":3,"upstream":"i-1"}
{"level":"info","ts":"2026-12-04T10:00:08.000Z","msg":"request","instance":"front-a","request":"r3","outcome":"rejected","status":401,"ms":0,"catalog":7,"reason":"unknown key"}
not a log line
`

const controlLog = `{"level":"info","ts":"2026-12-04T10:00:05.900Z","msg":"order","instance":"core-a","kind":"close","group":"g1","upstream":"i-1","result":"accepted"}
{"level":"info","ts":"2026-12-04T10:00:05.950Z","msg":"order","instance":"core-a","kind":"join","group":"g9","upstream":"i-7","result":"accepted"}
{"level":"info","ts":"2026-12-04T10:00:07.500Z","msg":"catalog acknowledged","instance":"core-a","version":8,"inForce":8}
`

func runExplain(t *testing.T, id string) (string, int) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "entry.log"), filepath.Join(dir, "control.log")
	require.NoError(t, os.WriteFile(one, []byte(entryLog), 0o600))
	require.NoError(t, os.WriteFile(two, []byte(controlLog), 0o600))
	var out, errOut bytes.Buffer
	app, err := New(&out, &errOut)
	require.NoError(t, err)
	code := app.Run(t.Context(), []string{"explain", id, one, two})
	return out.String() + errOut.String(), code
}

// Guards against an explanation that lacks the cause of an outcome or shows
// unrelated lines. The cases are a refusal for load, a lost upstream and a key
// that is rejected around a catalog change.
func TestExplain(t *testing.T) {
	text, code := runExplain(t, "r1")
	require.Equal(t, ExitOK, code)
	require.Contains(t, text, `cause: refused for load: no upstream of service m, model "m0"`)

	text, _ = runExplain(t, "r2")
	require.Contains(t, text, "group stands still")
	require.Contains(t, text, `kind="close"`)
	require.NotContains(t, text, "i-7", "lines about other groups are unrelated")
	require.Contains(t, text, `cause: failed after 2 sends; the last, to i-2 (group "g2"): stream broke after event 4`)
	require.Less(t, bytes.Index([]byte(text), []byte("group stands still")), bytes.Index([]byte(text), []byte(`kind="close"`)), "in order of time")

	text, _ = runExplain(t, "r3")
	require.Contains(t, text, "decided with catalog 7, although 8 was acknowledged 500ms before")

	text, code = runExplain(t, "r9")
	require.Equal(t, ExitError, code)
	require.Contains(t, text, `no log line for request "r9"`)
}
