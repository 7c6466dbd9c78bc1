package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/cluster"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/membership"
)

// limits are the limits of the process under test.
type limits struct {
	memoryMB, descriptors, maxBodyBytes int
}

// system is a running system as its callers see it.
type system struct {
	// process is the process that callers connect to.
	*process
	// address is the address for callers, path the path of the service, and fields
	// the fields of the head that each request needs.
	address, path, fields string
	// others are the processes that callers do not reach.
	others []*process
}

// servingPaths are the ways in which the system serves callers.
var servingPaths = []struct {
	name  string
	start func(t *testing.T, binary string, l limits, handler http.Handler) *system
}{{"entry", startEntry}, {"daemon", startPlainDaemon}, {"daemon_chat", startChatDaemon}}

// startEntry starts a control instance, an entry instance and an upstream.
func startEntry(t *testing.T, binary string, l limits, handler http.Handler) *system {
	dir := t.TempDir()
	controlIP, entryIP := fake.LoopbackIP(), fake.LoopbackIP()
	control, caller := net.JoinHostPort(controlIP, "18529"), net.JoinHostPort(entryIP, "18527")
	write := func(name string, own map[string]any) string {
		instance := map[string]any{"name": name, "failureDomain": "z", "peerPort": 17640, "seeds": []string{control}, "bootstrap": true,
			"heartbeatMs": 1200, "stallMs": 6000, "drain": map[string]any{"graceMs": 2000},
			"retryBudget": map[string]any{"ratio": 0.2, "allowance": 132, "windowMs": 10000}}
		maps.Copy(instance, own)
		return writeJSON(t, filepath.Join(dir, name+".jsonc"), instance)
	}
	s := &system{address: caller, path: "/app/x", fields: "Host: h.example\r\nBluebellfield-Deadline-Ms: 5000\r\n"}
	s.others = append(s.others, startProcess(t, binary, controlIP, 1024, "--instance",
		write("control", map[string]any{"id": controlIP, "listen": map[string]any{"control": control}, "dataFolder": filepath.Join(dir, "data")})))
	s.process = startProcess(t, binary, entryIP, l.descriptors, "--instance",
		write("entry", map[string]any{"id": entryIP, "memoryMb": l.memoryMB,
			"listen": map[string]any{"caller": caller, "ready": net.JoinHostPort(entryIP, "18520"), "metrics": net.JoinHostPort(entryIP, "18564")}}))
	document, err := json.Marshal(map[string]any{"version": 1, "services": []any{map[string]any{"name": "app"}},
		"routes": []any{map[string]any{"name": "r", "host": "h.example", "path_prefix": "/app/", "kind": "idempotent", "timeout_ms": 5000,
			"target_latency_ms": 300, "service": "app", "max_attempts": 2}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": l.maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return post("http://"+control+"/v1/Config.Put", document) == http.StatusOK }, startTimeout, 100*time.Millisecond,
		"the catalog is accepted")
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	started := time.Now().UnixMilli()
	repeat(t, 500*time.Millisecond, func(number int) {
		post("http://"+control+"/v1/Instances.Heartbeat/"+upstreamID, fmt.Appendf(nil,
			`{"service":"app","address":%q,"zone":"z","version":"v1","slots":20,"state":"ready","cold_remaining_ms":0,"seq":%d,"born":%d}`,
			server.Listener.Addr(), number, started))
	})
	s.awaitService()
	return s
}

// upstreamID is the id of the upstream.
const upstreamID = "u-1"

// startPlainDaemon starts a daemon and a plain service.
func startPlainDaemon(t *testing.T, binary string, l limits, handler http.Handler) *system {
	s, reports := startDaemon(t, binary, l)
	s.path = "/app/x"
	service, err := fake.StartPlainService(fake.PlainServiceConfig{Handler: handler, Upstream: fake.Upstream{
		Announcement: membership.Announcement{ID: upstreamID, FailureDomain: "a", Services: []string{"app"}}, Entries: []string{reports}}})
	require.NoError(t, err)
	t.Cleanup(service.Close)
	s.awaitService()
	return s
}

// startChatDaemon starts a daemon and a model engine.
func startChatDaemon(t *testing.T, binary string, l limits, handler http.Handler) *system {
	s, reports := startDaemon(t, binary, l)
	s.path = "/v1/chat/completions"
	engine, err := fake.StartEngine(fake.EngineConfig{Handler: handler, Upstream: fake.Upstream{
		Announcement: membership.Announcement{ID: upstreamID, FailureDomain: "a", Services: []string{"model"}}, Entries: []string{reports}}})
	require.NoError(t, err)
	t.Cleanup(engine.Close)
	s.awaitService()
	return s
}

// startDaemon starts a daemon. It returns the address to which upstreams report.
func startDaemon(t *testing.T, binary string, l limits) (s *system, reports string) {
	dir, ip := t.TempDir(), fake.LoopbackIP()
	listen := map[string]any{}
	for n, name := range []string{"caller", "upstream", "platform", "operator"} {
		listen[name] = net.JoinHostPort(ip, fmt.Sprint(18600+n))
	}
	tree := writeJSON(t, filepath.Join(dir, "tree.jsonc"), map[string]any{
		"maxBodyBytes": l.maxBodyBytes, "timeoutMs": 5000, "maxQueueMs": 5000,
		"accounts": map[string]any{"stable": map[string]any{"class": "paying", "keyHashes": []string{cluster.KeyHash("key")}}},
		"services": map[string]any{"app": map[string]any{"kind": "plain", "routes": []string{"/app/"}, "idempotent": []string{"POST /app/"}},
			"model": map[string]any{"kind": "model", "model": "model"}},
	})
	file := writeJSON(t, filepath.Join(dir, "daemon.jsonc"), map[string]any{"id": "d1", "failureDomain": "a", "region": "r", "roles": []string{"entry", "control"},
		"dataFolder": filepath.Join(dir, "data"), "listen": listen, "logs": map[string]any{"global": []string{"d1"}, "domains": map[string]any{"a": []string{"d1"}}},
		"bootstrapSettings": tree, "drain": map[string]any{"balancerWaitMs": 0}, "memoryMb": l.memoryMB})
	s = &system{address: listen["caller"].(string), fields: "Host: h.example\r\nAuthorization: Bearer key\r\n"}
	s.process = startProcess(t, binary, ip, l.descriptors, "--config", file)
	return s, listen["upstream"].(string)
}

func writeJSON(t *testing.T, path string, value any) string {
	data, err := json.Marshal(value)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

// repeat calls a function with increasing numbers until the end of the test.
func repeat(t *testing.T, interval time.Duration, f func(number int)) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for number := 1; ; number++ {
			f(number)
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-done
	})
}

// post returns the status of the response, or 0 without one.
func post(url string, body []byte) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// served is the body of each answer of the upstream.
const served = `{"served":true}`

// serve reads the request and answers it, as an upstream of any serving path.
func serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	echoIdentity(w.Header(), r.Header)
	_, _ = io.WriteString(w, served)
}

// echoIdentity sets the fields by which an answer is recognized as that of the
// upstream to this request.
func echoIdentity(to, from http.Header) {
	for _, name := range []string{"Bluebellfield-Attempt-Id", upstream.HeaderRequestID, upstream.HeaderAttempt} {
		if id := from.Get(name); id != "" {
			to.Set(name, id)
		}
	}
	to.Set("Bluebellfield-Server-Seal", "seal")
}

// body returns the body of a request of a number of bytes.
func (s *system) body(size int) []byte {
	const start, end = `{"model":"model","messages":[{"role":"user","content":"`, `"}]}`
	body := bytes.Repeat([]byte("x"), size)
	copy(body, start)
	copy(body[size-len(end):], end)
	return body
}

// head returns the head of a request with the given framing.
func (s *system) head(id int, framing string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\n%sContent-Type: application/json\r\nBluebellfield-Attempt-Id: %016x\r\n%s\r\n\r\n", s.path, s.fields, id, framing)
}

func (s *system) awaitService() {
	require.Eventually(s.t, func() bool { return s.request(ordinaryBodyBytes) == http.StatusOK }, startTimeout, 100*time.Millisecond, "the first request is served")
}
