package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/globalstate"
	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/edge/operator"
	"github.com/bluebellfield/bluebellfield/settings"
)

// testDeployment is a settings store that several API servers share.
type testDeployment struct {
	t       *testing.T
	machine *globalstate.Machine
	mu      sync.Mutex
	index   uint64
	// ids holds the ids of the received changes, in order.
	ids   []string
	token string
}

func (d *testDeployment) ProposeChange(_ context.Context, c settings.Change) (settings.Result, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ids = append(d.ids, c.ID)
	command, err := globalstate.EncodeChange(c)
	if err != nil {
		return settings.Result{}, err
	}
	d.index++
	return globalstate.DecodeChangeResult(d.machine.Apply(d.index, command))
}

func (d *testDeployment) handler() http.Handler {
	digest := func(token string) string {
		sum := sha256.Sum256([]byte(token))
		return hex.EncodeToString(sum[:])
	}
	return operator.New(operator.Options{
		Daemon: "a1", Proposer: d, Reader: operator.MachineReader{Machine: d.machine},
		Operators: []config.Operator{{Name: "ann", TokenSHA256: digest("write")}, {Name: "bob", TokenSHA256: digest("read"), ReadOnly: true}},
		Sources: operator.Sources{
			Upstreams: func(context.Context) ([]operator.Upstream, error) {
				return []operator.Upstream{{ID: "u1", Services: []string{"s"}}}, nil
			},
			Propagation: func(context.Context) ([]operator.Propagation, error) {
				return []operator.Propagation{{Daemon: "a1", Revision: d.machine.Tree().Revision()}, {Daemon: "a2"}}, nil
			},
		},
		Orders: operator.Orders{Drain: func(context.Context, operator.DrainRequest) error { return nil }},
	})
}

func (d *testDeployment) server(h http.Handler) string {
	s := httptest.NewServer(h)
	d.t.Cleanup(s.Close)
	return s.URL
}

// run runs a command and returns its exit code, output and error output.
func (d *testDeployment) run(servers []string, args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	app, err := New(&out, &errOut)
	require.NoError(d.t, err)
	app.pause = func(context.Context, time.Duration) {}
	file := filepath.Join(d.t.TempDir(), "token")
	require.NoError(d.t, os.WriteFile(file, []byte(d.token+"\n"), 0o600))
	args = append(args, "--token-file", file)
	for _, s := range servers {
		args = append(args, "--server", s)
	}
	code := app.Run(context.Background(), args)
	return code, out.String(), errOut.String()
}

func newDeployment(t *testing.T) *testDeployment {
	return &testDeployment{t: t, machine: globalstate.New(), token: "write"}
}

// dropResponses handles each change but closes the connection without a
// response.
func dropResponses(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

func unavailable() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// hang never answers. It reads the request body, because the server detects the
// disconnect of the client only after that.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// Guards against a change that is applied twice or reported with the wrong exit
// code when servers fail or responses are lost.
func TestChangeFaults(t *testing.T) {
	set := []string{"settings", "set", "/accounts/x", "weight=3"}
	const unreachable = "http://127.0.0.1:0"
	cases := []struct {
		name    string
		servers func(d *testDeployment) []string
		token   string
		args    []string
		code    int
		// applied is the number of changes that the store accepts, arrived the
		// number of times that a change is received.
		applied, arrived int
		message          string
	}{
		{name: "plain", args: set, applied: 1, arrived: 1},
		{name: "first server unreachable", servers: func(d *testDeployment) []string { return []string{unreachable, d.server(d.handler())} }, args: set, applied: 1, arrived: 1},
		{name: "first server unavailable", servers: func(d *testDeployment) []string { return []string{d.server(unavailable()), d.server(d.handler())} }, args: set, applied: 1, arrived: 1},
		{name: "lost answer", servers: func(d *testDeployment) []string {
			return []string{d.server(dropResponses(d.handler())), d.server(d.handler())}
		}, args: set, applied: 1, arrived: 2},
		{name: "every answer lost", servers: func(d *testDeployment) []string { return []string{d.server(dropResponses(d.handler()))} }, args: set, code: ExitError, applied: 1, arrived: maxRounds, message: "--base 0 is safe"},
		{name: "no server", servers: func(*testDeployment) []string { return nil }, args: set, code: ExitUsage, message: "--server"},
		{name: "all unreachable", servers: func(*testDeployment) []string { return []string{unreachable} }, args: set, code: ExitError, message: "127.0.0.1:0"},
		{name: "conflict", args: []string{"settings", "set", "/", "weight=3", "--base", "0"}, code: ExitConflict, message: "revision 1 by earlier: / weight (also in this change)"},
		{name: "invalid", args: []string{"settings", "set", "/", "weight=0"}, code: ExitInvalid, message: "/ weight: found 0, accepted: number from 0.001 to 1000"},
		{name: "unauthorized", token: "wrong", args: set, code: ExitError, message: "belongs to no operator (unauthorized"},
		{name: "read-only", token: "read", args: set, code: ExitError, message: "may only read (forbidden"},
		{name: "usage", args: []string{"settings", "set"}, code: ExitUsage, message: "PATH"},
		{name: "bad pair", args: []string{"settings", "set", "/", "weight"}, code: ExitUsage, message: "KEY=VALUE"},
		{name: "unknown command", args: []string{"settings", "frobnicate"}, code: ExitUsage},
		{name: "hanging server", servers: func(d *testDeployment) []string {
			return []string{d.server(http.HandlerFunc(hang))}
		}, args: append(set, "--timeout", "20ms", "--base", "0"), code: ExitTimeout, message: "is safe"},
		{name: "wait", args: []string{"settings", "wait", "1", "--timeout", "10ms"}, code: ExitTimeout, message: "1 of 2 daemons"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t)
			start := uint64(0)
			if c.name == "conflict" || c.name == "wait" {
				_, err := d.ProposeChange(context.Background(), settings.Change{ID: "e", Author: "earlier", Ops: []settings.Op{{Op: settings.OpSet, Path: "/", Key: "weight", Value: settings.Number(2)}}})
				require.NoError(t, err)
				d.ids, start = nil, 1
			}
			servers := []string{}
			if c.servers != nil {
				servers = c.servers(d)
			} else {
				servers = append(servers, d.server(d.handler()))
			}
			if c.token != "" {
				d.token = c.token
			}
			code, out, errOut := d.run(servers, c.args...)
			require.Equal(t, c.code, code, out+errOut)
			require.Contains(t, errOut, c.message)
			require.Equal(t, start+uint64(c.applied), d.machine.Tree().Revision())
			if c.arrived > 0 {
				require.Len(t, d.ids, c.arrived)
			}
			for _, id := range d.ids {
				require.Equal(t, d.ids[0], id)
			}
		})
	}
}

// Guards against commands with a wrong effect or output. They run in the order
// in which an operator would use them.
func TestCommands(t *testing.T) {
	d := newDeployment(t)
	servers := []string{d.server(d.handler())}
	file := filepath.Join(t.TempDir(), "tree.jsonc")
	require.NoError(t, os.WriteFile(file, []byte("{\n// two accounts\n\"accounts\": {\"x\": {\"weight\": 2}, \"y\": {}}}"), 0o600))
	broken := filepath.Join(t.TempDir(), "broken.jsonc")
	require.NoError(t, os.WriteFile(broken, []byte("{\n\"wait\": 2}"), 0o600))
	for _, c := range []struct {
		code int
		want string
		args []string
	}{
		{ExitOK, "valid, 3 nodes", []string{"settings", "validate", file}},
		{ExitInvalid, "broken.jsonc:2: / wait: unknown key", []string{"settings", "validate", broken}},
		{ExitError, "no such file", []string{"settings", "validate", file + "x"}},
		{ExitOK, "+ /accounts/x  weight  2", []string{"settings", "diff", file}},
		{ExitOK, "+ /accounts/y", []string{"settings", "apply", "--dry-run", file}},
		{ExitOK, "applied as revision 1 (change first)", []string{"settings", "apply", file, "--id", "first"}},
		{ExitOK, "applied as revision 1 (change first)", []string{"settings", "apply", file, "--id", "first", "--base", "0"}},
		{ExitOK, "already has these settings", []string{"settings", "apply", file}},
		{ExitOK, "applied as revision 2", []string{"settings", "set", "/services/s", "routes=/a/,POST /b", "kind=plain"}},
		{ExitOK, `["/a/","POST /b"]`, []string{"settings", "get", "/services/s", "routes"}},
		{ExitOK, `"weight": 2`, []string{"settings", "get", "/accounts/x"}},
		{ExitOK, `"accounts": {`, []string{"settings", "get"}},
		{ExitError, "does not exist", []string{"settings", "get", "/accounts/none"}},
		{ExitOK, "weight  1      default", []string{"settings", "explain", "/accounts/y", "weight"}},
		{ExitOK, "applied as revision 3", []string{"settings", "reset", "/accounts/x", "weight"}},
		{ExitOK, "applied as revision 4", []string{"settings", "delete", "/accounts/y"}},
		{ExitOK, "reset /accounts/x weight", []string{"settings", "history"}},
		{ExitOK, "- /accounts/y", []string{"settings", "diff", "3"}},
		{ExitOK, "applied as revision 5 (change back)", []string{"settings", "rollback", "1", "--id", "back"}},
		{ExitOK, "applied as revision 5 (change back)", []string{"settings", "rollback", "1", "--id", "back", "--base", "4"}},
		{ExitOK, "already has these settings", []string{"settings", "apply", file}},
		{ExitOK, "| `weight` |", []string{"settings", "reference"}},
		{ExitOK, "u1", []string{"get", "upstreams", "--service", "s"}},
		{ExitOK, `"id": "u1"`, []string{"get", "upstreams", "-o", "json"}},
		{ExitError, "this daemon has no queues", []string{"get", "queues"}},
		{ExitError, "this daemon has no status", []string{"get", "status"}},
		{ExitOK, "draining a2", []string{"drain", "a2"}},
		{ExitError, "does not take the order", []string{"voters", "add", "global", "a2"}},
		{ExitOK, "Exit codes:", []string{"--help"}},
	} {
		code, out, errOut := d.run(servers, c.args...)
		require.Equal(t, c.code, code, "%v: %s%s", c.args, out, errOut)
		require.Contains(t, out+errOut, c.want, "%v", c.args)
	}
}
