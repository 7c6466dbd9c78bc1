package instance_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/control"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/instance"
	"github.com/bluebellfield/bluebellfield/platform"
)

// cluster is a deployment on loopback addresses, one address for each host.
type cluster struct {
	t        *testing.T
	dir      string
	peerPort int
	seeds    []string
	running  map[string]*instance.Instance
}

const (
	controlPort = 18229
	callerPort  = 18227
	readyPort   = 18220
	// catchUp is the catch_up_s of the platform: the time until a new control
	// instance must count towards the majority.
	catchUp = 4 * time.Second
)

func newCluster(t *testing.T, block int) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), peerPort: 17340, running: map[string]*instance.Instance{}}
	for n := 1; n <= 3; n++ {
		c.seeds = append(c.seeds, address(hostID(block, n), controlPort))
	}
	t.Cleanup(func() {
		for id := range c.running {
			c.stop(id)
		}
	})
	return c
}

// hostID returns the loopback address of a host. It depends on the process ID,
// so that concurrent test runs do not conflict.
func hostID(block, n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x7f, pid&0xff, 10*block+n)
}

func adapter() instance.Adapter {
	return instance.Adapter{Decode: platform.DecodeConfiguration, Protocol: platform.Protocol{},
		Orders: func(client *upstream.Client) control.OrderSender { return &platform.Workers{Client: client} },
		Control: func(c *control.Control, logger *zap.Logger) http.Handler {
			return platform.NewControlHandler(c, logger)
		},
		Ready: platform.NewReadyHandler}
}

func (c *cluster) start(id string, bootstrap, entry bool, folder string) {
	s := &instance.Settings{ID: id, Name: id, FailureDomain: "z", PeerPort: c.peerPort, Seeds: c.seeds, Bootstrap: bootstrap,
		HeartbeatMS: 1200, StallMS: 6000, Drain: instance.Drain{GraceMS: 5000}, RetryBudget: instance.RetryBudget{Ratio: 0.2, Allowance: 132, WindowMS: 10000}}
	if entry {
		s.Listen.Caller, s.Listen.Ready = address(id, callerPort), address(id, readyPort)
	} else {
		s.Listen.Control, s.DataFolder = address(id, controlPort), filepath.Join(c.dir, folder)
	}
	i, err := instance.Start(s, adapter(), zap.NewNop())
	require.NoError(c.t, err)
	c.running[id] = i
}

func (c *cluster) stop(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// A leader without followers cannot transfer its leadership. This error is
	// expected.
	if err := c.running[id].Close(ctx); err != nil {
		c.t.Logf("stop of %s: %v", id, err)
	}
	delete(c.running, id)
}

func address(id string, port int) string { return net.JoinHostPort(id, fmt.Sprint(port)) }

func seedHost(seed string) string {
	id, _, _ := net.SplitHostPort(seed)
	return id
}

func configuration(version int, path string) []byte {
	return configurationWithLimits(version, path, map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000})
}

func configurationWithLimits(version int, path string, limits map[string]any) []byte {
	document, err := json.Marshal(map[string]any{"version": version,
		"routes": []any{map[string]any{"name": "r", "host": "h.example", "path_prefix": path, "kind": "idempotent", "timeout_ms": 2000,
			"target_latency_ms": 300, "service": "app", "max_attempts": 2}},
		"services": []any{map[string]any{"name": "app"}}, "limits": limits})
	if err != nil {
		panic(err)
	}
	return document
}

// call returns the status and body of the response, or status 0 without one.
func call(method, url string, body []byte, change ...func(*http.Request)) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	for _, c := range change {
		c(req)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

func (c *cluster) eventually(what string, condition func() bool) {
	require.Eventually(c.t, condition, 20*time.Second, 50*time.Millisecond, what)
}

func (c *cluster) putConfiguration(id string, version int, path string) bool {
	status, _ := call("POST", "http://"+address(id, controlPort)+"/v1/Config.Put", configuration(version, path))
	return status == 200
}

// confirmedVersion returns the catalog version that an instance reports, or 0
// if it cannot confirm one.
func (c *cluster) confirmedVersion(id string) int {
	status, body := call("GET", "http://"+address(id, controlPort)+"/v1/Config.Get", nil)
	var document struct{ Version int }
	if status != 200 || json.Unmarshal([]byte(body), &document) != nil {
		return 0
	}
	return document.Version
}

func (c *cluster) sendHeartbeat(id, workerAddress string) {
	body := fmt.Sprintf(`{"service":"app","address":%q,"zone":"z","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"seq":%d,"born":1000}`, workerAddress, time.Now().UnixMilli())
	status, _ := call("POST", "http://"+address(id, controlPort)+"/v1/Instances.Heartbeat/w1", []byte(body))
	require.Equal(c.t, 200, status)
}

func request(id, path string) (int, string) {
	return call("GET", "http://"+address(id, callerPort)+path, nil, func(r *http.Request) {
		r.Host = "h.example"
		r.Header.Set("Bluebellfield-Attempt-Id", "a1")
		r.Header.Set("Bluebellfield-Deadline-Ms", "2000")
	})
}

// Guards against instances that do not discover each other through the seeds,
// against losing an acknowledged change when a control instance is lost, wiped
// or replaced at another address, and against an entry that serves an old
// catalog.
func TestDeploymentSurvivesItsControlInstances(t *testing.T) {
	c := newCluster(t, 1)
	a, b, d := seedHost(c.seeds[0]), seedHost(c.seeds[1]), seedHost(c.seeds[2])
	entry, successor := hostID(1, 4), hostID(1, 5)
	for n, id := range []string{a, b, d} {
		c.start(id, true, false, fmt.Sprint("first-", n))
	}
	c.start(entry, true, true, "")
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Bluebellfield-Attempt-Id", r.Header.Get("Bluebellfield-Attempt-Id"))
		w.Header().Set("Bluebellfield-Server-Seal", "seal")
		_, _ = io.WriteString(w, "served "+r.URL.Path)
	}))
	defer worker.Close()
	workerAddress := strings.TrimPrefix(worker.URL, "http://")

	c.eventually("the first change is acknowledged", func() bool { return c.putConfiguration(b, 1, "/one/") })
	c.sendHeartbeat(d, workerAddress)
	c.eventually("the entry serves the first change", func() bool { status, _ := request(entry, "/one/x"); return status == 200 })
	_, body := request(entry, "/one/x")
	require.Equal(t, "served /one/x", body)

	// One instance is lost permanently, and an empty one starts at another
	// address.
	c.stop(a)
	c.eventually("a change without it", func() bool { return c.putConfiguration(b, 2, "/two/") })
	c.start(successor, false, false, "successor")
	joined := time.Now()
	c.eventually("the successor reads the newest", func() bool { return c.confirmedVersion(successor) == 2 })
	c.eventually("the entry serves the second change", func() bool { status, _ := request(entry, "/two/x"); return status == 200 })

	// After catchUp, the successor counts towards the majority, so that the
	// deployment survives another loss.
	time.Sleep(time.Until(joined.Add(catchUp)))
	c.stop(b)
	c.eventually("a change without another one", func() bool { return c.putConfiguration(successor, 3, "/three/") })
	require.Equal(t, 3, c.confirmedVersion(d))

	// The second lost instance returns without its data.
	c.start(b, false, false, "wiped")
	c.eventually("the wiped instance catches up", func() bool { return c.confirmedVersion(b) == 3 })

	// All instances stop, and two of them start again with their data.
	for _, id := range []string{b, d, successor} {
		c.stop(id)
	}
	c.start(d, false, false, "first-2")
	require.Zero(t, c.confirmedVersion(d), "one of three is no majority")
	c.start(successor, false, false, "successor")
	c.eventually("the acknowledged change is read back", func() bool { return c.confirmedVersion(d) == 3 && c.confirmedVersion(successor) == 3 })
	status, _ := request(entry, "/three/x")
	require.Equal(t, 200, status, "the entry keeps serving without control instances")
}

// Guards against an instance without a majority acknowledging a change or
// returning outdated data, and against rejecting repeated changes.
func TestMinorityServesNothing(t *testing.T) {
	c := newCluster(t, 2)
	a, b, d := seedHost(c.seeds[0]), seedHost(c.seeds[1]), seedHost(c.seeds[2])
	for n, id := range []string{a, b, d} {
		c.start(id, true, false, fmt.Sprint("n-", n))
	}
	c.eventually("acknowledged", func() bool { return c.putConfiguration(a, 5, "/five/") })
	require.True(t, c.putConfiguration(b, 5, "/five/"), "repeated change")
	require.True(t, c.putConfiguration(d, 4, "/four/"), "lower version")
	require.Equal(t, 5, c.confirmedVersion(a))
	c.stop(b)
	c.stop(d)
	require.False(t, c.putConfiguration(a, 6, "/six/"))
	require.Zero(t, c.confirmedVersion(a))
}

// Guards against a control instance that is no seed not answering, and against
// a deployment of five failing after the loss of two.
func TestFiveControlInstancesBearTheLossOfTwo(t *testing.T) {
	c := newCluster(t, 3)
	var ids []string
	for n := range 5 {
		ids = append(ids, hostID(3, n+1))
		c.start(ids[n], n < len(c.seeds), false, fmt.Sprint("n-", n))
	}
	started := time.Now()
	c.eventually("acknowledged by an instance that is no seed", func() bool { return c.putConfiguration(ids[4], 1, "/one/") })
	for _, id := range ids {
		c.eventually("every instance reads the change", func() bool { return c.confirmedVersion(id) == 1 })
	}
	time.Sleep(time.Until(started.Add(catchUp)))
	c.stop(ids[0])
	c.stop(ids[1])
	c.eventually("a change without two of them", func() bool { return c.putConfiguration(ids[3], 2, "/two/") })
	require.Equal(t, 2, c.confirmedVersion(ids[4]))
}

// Guards against losing an acknowledged change when all instances stop at once
// and two of five return without their data.
func TestTwoOfFiveAreWipedWhileAllAreDown(t *testing.T) {
	c := newCluster(t, 4)
	var ids []string
	for n := range 5 {
		ids = append(ids, hostID(4, n+1))
		c.start(ids[n], n < len(c.seeds), false, fmt.Sprint("n-", n))
	}
	time.Sleep(catchUp)
	c.eventually("acknowledged", func() bool { return c.putConfiguration(ids[0], 7, "/seven/") })
	for _, id := range ids {
		c.stop(id)
	}
	for n, id := range ids {
		folder := fmt.Sprint("n-", n)
		if n < 2 {
			folder = fmt.Sprint("wiped-", n)
		}
		c.start(id, false, false, folder)
	}
	for _, id := range ids {
		c.eventually("every instance reads the change", func() bool { return c.confirmedVersion(id) == 7 })
	}
	c.eventually("a later change", func() bool { return c.putConfiguration(ids[1], 8, "/eight/") })
}

// Guards against limits of the first catalog that stay in force at a running entry
// until it restarts: each key of the limits must change within applyTime, also on
// connections that are open.
func TestLimitsOfNewCatalogAreInForce(t *testing.T) {
	const applyTime = 2 * time.Second
	c := newCluster(t, 7)
	control, entry := seedHost(c.seeds[0]), hostID(7, 4)
	c.seeds = c.seeds[:1]
	c.start(control, true, false, "n")
	c.start(entry, true, true, "")
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Bluebellfield-Attempt-Id", r.Header.Get("Bluebellfield-Attempt-Id"))
		w.Header().Set("Bluebellfield-Server-Seal", "seal")
		_, _ = io.WriteString(w, "served")
	}))
	defer worker.Close()
	limits := map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_ms": 20000, "idle_timeout_ms": 20000}
	version := 0
	put := func(key string, value int) {
		version++
		limits[key] = value
		body := configurationWithLimits(version, "/", limits)
		c.eventually("acknowledged", func() bool {
			status, _ := call("POST", "http://"+address(control, controlPort)+"/v1/Config.Put", body)
			return status == 200
		})
	}
	put("idle_timeout_ms", 20000)
	c.sendHeartbeat(control, strings.TrimPrefix(worker.URL, "http://"))
	c.eventually("served", func() bool { status, _ := request(entry, "/x"); return status == 200 })

	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	send := func(headerBytes, bodyBytes int) int {
		req, err := http.NewRequest("POST", "http://"+address(entry, callerPort)+"/x", strings.NewReader(strings.Repeat("b", bodyBytes)))
		require.NoError(t, err)
		req.Host = "h.example"
		req.Header.Set("Bluebellfield-Attempt-Id", "a1")
		req.Header.Set("Cookie", strings.Repeat("c", headerBytes))
		resp, err := client.Do(req)
		if err != nil {
			return 0
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	require.Equal(t, 200, send(8<<10, 10))
	require.Equal(t, 431, send(32<<10, 10))
	require.Equal(t, 413, send(10, 2000))
	within := func(what string, condition func() bool) {
		t.Helper()
		require.Eventually(t, condition, applyTime, 20*time.Millisecond, what)
	}
	put("max_header_bytes", 64<<10)
	within("a higher header limit", func() bool { return send(32<<10, 10) == 200 })
	put("max_header_bytes", 16<<10)
	within("a lower header limit", func() bool { return send(32<<10, 10) == 431 })
	put("max_body_bytes", 4000)
	within("a higher body limit", func() bool { return send(10, 2000) == 200 })

	closesWithin := func(conn net.Conn, limit time.Duration) bool {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(limit)))
		_, err := io.Copy(io.Discard, conn)
		return err == nil
	}
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", address(entry, callerPort))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		return conn
	}
	header := dial("GET /x HTTP/1.1\r\nHo")
	put("header_timeout_ms", 300)
	require.True(t, closesWithin(header, applyTime), "a shorter header timeout")
	idle := dial("GET /x HTTP/1.1\r\nHost: h.example\r\nBluebellfield-Attempt-Id: a2\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	put("idle_timeout_ms", 300)
	require.True(t, closesWithin(idle, applyTime), "a shorter idle timeout")
}

// Guards against a planned stop that takes requests late in the grace period and
// cuts them at its end without an answer: those that arrive after the load balancer
// has noticed are refused, and those that are still running are answered.
func TestStopAnswersAllRequests(t *testing.T) {
	c := newCluster(t, 8)
	control, entry := seedHost(c.seeds[0]), hostID(8, 4)
	c.seeds = c.seeds[:1]
	c.start(control, true, false, "n")
	c.start(entry, true, true, "")
	var arrived atomic.Int32
	release := make(chan struct{})
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Bluebellfield-Attempt-Id", r.Header.Get("Bluebellfield-Attempt-Id"))
		w.Header().Set("Bluebellfield-Server-Seal", "seal")
		if strings.HasSuffix(r.URL.Path, "/slow") {
			arrived.Add(1)
			<-release
		}
		_, _ = io.WriteString(w, "served")
	}))
	defer worker.Close()
	defer close(release)
	document := bytes.Replace(configuration(1, "/"), []byte(`"timeout_ms":2000`), []byte(`"timeout_ms":20000`), 1)
	c.eventually("acknowledged", func() bool {
		status, _ := call("POST", "http://"+address(control, controlPort)+"/v1/Config.Put", document)
		return status == 200
	})
	c.sendHeartbeat(control, strings.TrimPrefix(worker.URL, "http://"))
	c.eventually("served", func() bool { status, _ := request(entry, "/x"); return status == 200 })

	send := func(conn net.Conn, path string) (int, error) {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nBluebellfield-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n", path)
		if err != nil {
			return 0, err
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, errors.Join(err, resp.Body.Close())
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address(entry, callerPort))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	type answer struct {
		status int
		err    error
	}
	running := make(chan answer, 1)
	early := dial()
	go func() {
		status, err := send(early, "/slow")
		running <- answer{status, err}
	}()
	c.eventually("the request runs", func() bool { return arrived.Load() == 1 })
	stopped := make(chan error, 1)
	i := c.running[entry]
	delete(c.running, entry)
	go func() { stopped <- i.Shutdown() }()
	time.Sleep(2500 * time.Millisecond)
	late := dial()
	status, err := send(dial(), "/x")
	require.NoError(t, err)
	require.Equal(t, 200, status, "before the load balancer has noticed")
	time.Sleep(time.Second)
	status, err = send(late, "/slow")
	require.NoError(t, err)
	require.Equal(t, 503, status, "after the load balancer has noticed")
	require.Equal(t, int32(1), arrived.Load(), "the refused request has not run")
	got := <-running
	require.NoError(t, got.err, "the running request is answered")
	require.Contains(t, []int{502, 504}, got.status, "it may have run")
	<-stopped
}

// Guards against entries that send requests to an upstream that has told another
// entry, in an answer, that it is leaving.
func TestDepartureReachesOtherEntries(t *testing.T) {
	c := newCluster(t, 9)
	control, told, other := seedHost(c.seeds[0]), hostID(9, 4), hostID(9, 5)
	c.seeds = c.seeds[:1]
	c.start(control, true, false, "n")
	c.start(told, true, true, "")
	c.start(other, true, true, "")
	var arrived atomic.Int32
	var leaving atomic.Bool
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set("Bluebellfield-Attempt-Id", r.Header.Get("Bluebellfield-Attempt-Id"))
		w.Header().Set("Bluebellfield-Server-Seal", "seal")
		if leaving.Load() {
			w.Header().Set("Server-Leaving", "1")
		}
		_, _ = io.WriteString(w, "served")
	}))
	defer worker.Close()
	c.eventually("acknowledged", func() bool { return c.putConfiguration(control, 1, "/") })
	heartbeat := func() { c.sendHeartbeat(control, strings.TrimPrefix(worker.URL, "http://")) }
	heartbeat()
	for _, id := range []string{told, other} {
		c.eventually("served", func() bool { status, _ := request(id, "/x"); return status == 200 })
	}
	leaving.Store(true)
	status, _ := request(told, "/x")
	require.Equal(t, 200, status)
	time.Sleep(time.Second)
	heartbeat()
	before := arrived.Load()
	for range 10 {
		status, _ := request(other, "/x")
		require.Equal(t, 503, status)
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, before, arrived.Load())
}

// Guards against an upstream that is used again after its departure was acknowledged:
// all control instances and an entry, or all instances, restart, and a heartbeat that
// was sent before the departure arrives late.
func TestDepartureOutlivesRestartOfControlInstances(t *testing.T) {
	t.Run("and an entry", func(t *testing.T) { testDepartureOutlivesRestart(t, 10, false) })
	t.Run("and all entries", func(t *testing.T) { testDepartureOutlivesRestart(t, 24, true) })
}

func testDepartureOutlivesRestart(t *testing.T, subnet int, restartAll bool) {
	c := newCluster(t, subnet)
	var controls []string
	for n, seed := range c.seeds {
		controls = append(controls, seedHost(seed))
		c.start(controls[n], true, false, fmt.Sprint("n-", n))
	}
	restarted, other := hostID(subnet, 4), hostID(subnet, 5)
	c.start(restarted, true, true, "")
	c.start(other, true, true, "")
	var arrived atomic.Int32
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set("Bluebellfield-Attempt-Id", r.Header.Get("Bluebellfield-Attempt-Id"))
		w.Header().Set("Bluebellfield-Server-Seal", "seal")
		_, _ = io.WriteString(w, "served")
	}))
	defer worker.Close()
	workerAddress := strings.TrimPrefix(worker.URL, "http://")
	c.eventually("acknowledged", func() bool { return c.putConfiguration(controls[0], 1, "/") })
	c.sendHeartbeat(controls[0], workerAddress)
	for _, id := range []string{restarted, other} {
		c.eventually("served", func() bool { status, _ := request(id, "/x"); return status == 200 })
	}
	status, _ := call("POST", "http://"+address(controls[1], controlPort)+"/v1/Instances.Deregister/w1", []byte(`{"born":1000}`))
	require.Equal(t, 200, status)
	for _, id := range []string{restarted, other} {
		c.eventually("not served", func() bool { status, _ := request(id, "/x"); return status == 503 })
	}
	entries := []string{restarted}
	if restartAll {
		entries = append(entries, other)
	}
	for _, id := range append(slices.Clone(controls), entries...) {
		c.stop(id)
	}
	for n, id := range controls {
		c.start(id, false, false, fmt.Sprint("n-", n))
	}
	for _, id := range entries {
		c.start(id, false, true, "")
	}
	time.Sleep(2 * time.Second)
	c.sendHeartbeat(controls[0], workerAddress)
	c.sendHeartbeat(controls[2], workerAddress)
	time.Sleep(time.Second)
	before := arrived.Load()
	for _, id := range []string{restarted, other} {
		c.eventually("the entry knows the catalog", func() bool {
			status, _ := request(id, "/x")
			return status == 503 || arrived.Load() > before
		})
		for range 5 {
			status, _ := request(id, "/x")
			require.Equal(t, 503, status)
		}
	}
	require.Equal(t, before, arrived.Load())
}
