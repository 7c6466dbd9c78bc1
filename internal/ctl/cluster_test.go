package ctl_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/cluster"
	"github.com/bluebellfield/bluebellfield/internal/ctl"
	"github.com/bluebellfield/bluebellfield/internal/edge/operator"
	"github.com/bluebellfield/bluebellfield/internal/fake"
)

const waitTimeout = 30 * time.Second

// clusterCLI runs bluebellctl against the daemons of a cluster.
type clusterCLI struct {
	t       *testing.T
	cluster *cluster.Cluster
	token   string
}

func startClusterCLI(t *testing.T) *clusterCLI {
	tree := `{"accounts": {"rug": {"class": "paying", "maxConcurrent": 9, "keyHashes": ["` + cluster.KeyHash("key") + `"]}},
	  "services": {"wash": {"kind": "plain", "routes": ["GET /wash"]}}}`
	c, err := cluster.Start(t.TempDir(), cluster.DefaultLayout(tree))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.WaitReady(waitTimeout))
	require.NoError(t, cluster.WaitFor(waitTimeout, "the first settings", func() bool {
		for _, id := range c.IDs() {
			if c.Daemon(id).Revision() == 0 {
				return false
			}
		}
		return true
	}))
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte(cluster.OperatorToken), 0o600))
	return &clusterCLI{t, c, token}
}

// run sends a command to a daemon and returns the exit code and the output.
func (o *clusterCLI) run(daemon string, args ...string) (int, string) {
	var out, errOut bytes.Buffer
	app, err := ctl.New(&out, &errOut)
	require.NoError(o.t, err)
	server := "http://" + o.cluster.Config(daemon).Listen.Operator
	code := app.Run(o.t.Context(), append([]string{"--server", server, "--token-file", o.token, "-o", "json"}, args...))
	return code, out.String() + errOut.String()
}

// rows sends a list query to a daemon and returns the rows of the answer.
func rows[T any](o *clusterCLI, daemon string, args ...string) []T {
	code, out := o.run(daemon, args...)
	require.Equal(o.t, ctl.ExitOK, code, out)
	var answer []T
	require.NoError(o.t, json.Unmarshal([]byte(out), &answer), out)
	return answer
}

// Guards against a command or query that fails on some daemons of a cluster:
// each must be answered by voters and by daemons that are not voters.
func TestCommandsAgainstCluster(t *testing.T) {
	o := startClusterCLI(t)
	wash := fake.PlainServiceConfig{}
	wash.ID, wash.FailureDomain, wash.Services = "w1", "a", []string{"wash"}
	_, err := o.cluster.AddPlainService(wash)
	require.NoError(t, err)
	caller := cluster.Caller{Key: "key"}
	var response cluster.Response
	require.NoError(t, cluster.WaitFor(waitTimeout, "a response", func() bool {
		response = caller.Call(t.Context(), http.MethodGet, o.cluster.CallerURL("b2")+"/wash", "", "")
		return response.Complete
	}))

	for i, daemon := range []string{"a1", "c2"} {
		code, out := o.run(daemon, "settings", "set", "/accounts/rug", "maxConcurrent="+string(rune('3'+i)))
		require.Equal(t, ctl.ExitOK, code, out)
		code, out = o.run(daemon, "settings", "wait")
		require.Equal(t, ctl.ExitOK, code, out)
		for _, id := range o.cluster.IDs() {
			require.Equal(t, uint64(2+i), o.cluster.Daemon(id).Revision(), id)
		}
	}
	code, out := o.run("c2", "settings", "set", "/accounts/rug", "maxConcurrent=-1")
	require.Equal(t, ctl.ExitInvalid, code, out)
	require.Contains(t, out, "/accounts/rug maxConcurrent")

	require.Equal(t, "w1", rows[operator.Upstream](o, "b2", "get", "upstreams")[0].ID)
	require.Len(t, rows[operator.Peer](o, "b2", "get", "peers"), len(o.cluster.IDs())-1)
	require.NotEmpty(t, rows[operator.Limit](o, "b2", "get", "limits"))
	require.NotEmpty(t, rows[operator.Voter](o, "b2", "voters", "list"))
	require.Empty(t, rows[operator.Quarantine](o, "b2", "get", "quarantines"))
	var trace operator.Trace
	for _, row := range rows[operator.Trace](o, "b2", "get", "traces") {
		if row.RequestID == response.RequestID {
			trace = row
		}
	}
	var names []string
	for _, span := range trace.Spans {
		names = append(names, span.Name)
	}
	require.Equal(t, "caller admission routing dispatch", strings.Join(names, " "))

	code, out = o.run("a1", "drain", "c1")
	require.Equal(t, ctl.ExitOK, code, out)
	select {
	case <-o.cluster.Daemon("c1").DrainRequested():
	case <-time.After(waitTimeout):
		t.Fatal("the drain did not reach the daemon")
	}
}
