package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/cluster"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/membership"
)

const waitTimeout = 30 * time.Second

// process is a daemon that runs in a separate process.
type process struct {
	*exec.Cmd
	caller, upstream, platform string
	exited                     chan error
}

// buildDaemon compiles the daemon and returns the path of the binary.
func buildDaemon(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "bluebellfieldd")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

func freeAddresses(t *testing.T, n int) []string {
	host := fake.LoopbackIP()
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", host+":0")
		require.NoError(t, err)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// writeSettings writes the settings of a daemon and returns the path of the file.
func writeSettings(t *testing.T, dir string, p *process) string {
	addresses := freeAddresses(t, 4)
	p.caller, p.upstream, p.platform = addresses[0], addresses[1], addresses[2]
	tree := fmt.Sprintf(`{"accounts": {"stable": {"class": "paying", "keyHashes": [%q]}},
	  "services": {"rug-model": {"kind": "model", "model": "rug-model"}}}`, cluster.KeyHash("key"))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "tree.jsonc"), []byte(tree), 0o600))
	settings := fmt.Sprintf(`{
	  // One daemon with both roles.
	  "id": "d1", "failureDomain": "a", "region": "r", "roles": ["entry", "control"], "dataFolder": %q,
	  "listen": {"caller": %q, "upstream": %q, "platform": %q, "operator": %q},
	  "logs": {"global": ["d1"], "domains": {"a": ["d1"]}},
	  "bootstrapSettings": %q, "drain": {"balancerWaitMs": 0},
	}`, filepath.Join(dir, "data"), p.caller, p.upstream, p.platform, addresses[3], filepath.Join(dir, "tree.jsonc"))
	file := filepath.Join(dir, "daemon.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	return file
}

func (p *process) start(t *testing.T, binary, file string) {
	p.Cmd = exec.Command(binary, "--config", file)
	require.NoError(t, p.Start())
	p.exited = make(chan error, 1)
	go func() { p.exited <- p.Wait() }()
	t.Cleanup(func() { _ = p.Process.Kill() })
	require.NoError(t, cluster.WaitFor(waitTimeout, "readiness", func() bool {
		resp, err := http.Get("http://" + p.platform + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}))
}

func startEngine(t *testing.T, p *process) {
	e, err := fake.StartEngine(fake.EngineConfig{TokenDelay: 2 * time.Millisecond, Upstream: fake.Upstream{
		Announcement: membership.Announcement{ID: "e1", FailureDomain: "a", Services: []string{"rug-model"}},
		Entries:      []string{p.upstream},
	}})
	require.NoError(t, err)
	t.Cleanup(e.Close)
}

// Guards against a graceful stop that breaks a stream or returns an exit code
// other than 0, and against settings that are lost by kill -9.
func TestProcessStopsGracefullyAndRecovers(t *testing.T) {
	binary, dir := buildDaemon(t), t.TempDir()
	p := &process{}
	file := writeSettings(t, dir, p)
	p.start(t, binary, file)
	startEngine(t, p)
	stable := cluster.Caller{Key: "key"}
	stream := func(tokens int) cluster.Response {
		return stable.Stream(context.Background(), "http://"+p.caller, "rug-model", "rug", tokens)
	}
	require.NoError(t, cluster.WaitFor(waitTimeout, "a stream", func() bool { return stream(3).Complete }))

	require.NoError(t, p.Process.Kill())
	<-p.exited
	p.start(t, binary, file)
	require.NoError(t, cluster.WaitFor(waitTimeout, "a stream after kill -9", func() bool { return stream(3).Complete }))

	response := make(chan cluster.Response, 1)
	go func() { response <- stream(300) }()
	require.NoError(t, cluster.WaitFor(waitTimeout, "the stream", func() bool { return inFlight(t, p) }))
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	r := <-response
	require.True(t, r.Complete, r.Err)
	require.Equal(t, fake.Answer("rug", 300), r.Content)
	require.NoError(t, <-p.exited, "the exit code must be 0")
}

// inFlight reports whether the daemon has requests in flight.
func inFlight(t *testing.T, p *process) bool {
	resp, err := http.Get("http://" + p.platform + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	var metrics map[string]struct {
		Value float64 `json:"value"`
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&metrics))
	return metrics["requests.in_flight"].Value > 0
}

// Guards against settings errors without a position and against wrong exit codes
// for invalid usage.
func TestUsage(t *testing.T) {
	binary := buildDaemon(t)
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	require.NoError(t, os.WriteFile(bad, []byte("{\n\"idd\": 1}"), 0o600))
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no settings", nil, exitUsage, "--config or --dev is required"},
		{"unknown option", []string{"--nope"}, exitUsage, "unknown flag"},
		{"bad settings", []string{"--config", bad}, exitUsage, "bad.jsonc:2: /idd: unknown key"},
		{"help", []string{"--help"}, exitOK, "--config"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cmd := exec.Command(binary, c.args...)
			out, _ := cmd.CombinedOutput()
			require.Equal(t, c.code, cmd.ProcessState.ExitCode())
			require.Contains(t, string(out), c.want)
		})
	}
}
