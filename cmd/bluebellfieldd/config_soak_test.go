package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// soakSeeds names the variable that holds the number of seeds of
	// TestConfigurationSoak for a run by hand.
	soakSeeds = "BLUEBELLFIELD_SOAK_SEEDS"
	// soakFirstSeed names the variable that holds the first of these seeds.
	soakFirstSeed = "BLUEBELLFIELD_SOAK_FIRST_SEED"
	soakDuration  = 25 * time.Second
	// contactTime, applyTime and slackTime are contact_ms, config_apply_ms and
	// rollback_slack_ms of the users' sheets.
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
	slackTime   = 250 * time.Millisecond
	// restartPause is the time after which the platform starts a process again.
	restartPause = 300 * time.Millisecond
	soakHost     = "h.example"
	// recentVersions is the number of the last versions whose routes are requested.
	recentVersions = 4
)

// ciConfigSeeds are the seeds that CI runs.
var ciConfigSeeds = []uint64{0, 1, 2}

// Guards against acknowledged changes of the configuration that are not in force in
// time, come back older, or are lost, against invalid ones that are accepted, and
// against requests to upstreams that have said that they leave or want a pause, while
// control instances and entries are killed, stopped, paused and wiped in overlapping
// series. Callers use open connections until the process is gone.
func TestConfigurationSoak(t *testing.T) {
	seeds := ciConfigSeeds
	if text := os.Getenv(soakSeeds); text != "" {
		count, err := strconv.ParseUint(text, 10, 16)
		require.NoError(t, err)
		first, _ := strconv.ParseUint(os.Getenv(soakFirstSeed), 10, 16)
		seeds = nil
		for seed := range count {
			seeds = append(seeds, first+seed)
		}
	}
	binary := buildDaemon(t)
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runConfigurationSoak(t, binary, seed)
		})
	}
}

// soakInstance is one instance of the deployment under test.
type soakInstance struct {
	id, file, folder string
	control          bool

	mu      sync.Mutex
	process *exec.Cmd
	// disturbed is the time of the last disruption's end; busy counts those in
	// progress.
	disturbed time.Time
	busy      int
	// incarnation counts the starts of the process.
	incarnation int
}

// disrupt marks a disruption of the instance until the returned function is called.
func (i *soakInstance) disrupt() func() {
	i.mu.Lock()
	i.busy++
	i.mu.Unlock()
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.busy--
		i.disturbed = time.Now()
	}
}

// calm reports whether the instance has run without a disruption since a time.
func (i *soakInstance) calm(since time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.busy == 0 && i.disturbed.Before(since)
}

// change is a configuration that an operator has sent.
type change struct {
	version            int
	sent, acknowledged time.Time
}

type configSoak struct {
	t         *testing.T
	binary    string
	dir       string
	instances []*soakInstance
	controls  []*soakInstance
	entries   []*soakInstance
	ports     map[string]int
	http      *http.Client

	mu       sync.Mutex
	changes  map[int]*change
	failures []string
	reads    int
	// probes counts the requests on routes of one version, served all successes.
	probes, served int
	// departures and pauses count what the upstreams have told.
	departures, pauses int
}

func (s *configSoak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (s *configSoak) address(i *soakInstance, port string) string {
	return net.JoinHostPort(i.id, strconv.Itoa(s.ports[port]))
}

func newConfigSoak(t *testing.T, binary string, seed uint64, controls, entries int) *configSoak {
	s := &configSoak{t: t, binary: binary, dir: t.TempDir(), changes: map[int]*change{},
		ports: map[string]int{"caller": 18327, "ready": 18320, "control": 18329, "peer": 17440, "metrics": 18364},
		http:  &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	pid := os.Getpid()
	for n := range controls + entries {
		i := &soakInstance{control: n < controls, id: fmt.Sprintf("127.%d.%d.%d", 65+pid%62, (pid/62+int(seed)*7)%250, 1+n), folder: fmt.Sprint("data-", n)}
		s.instances = append(s.instances, i)
		if i.control {
			s.controls = append(s.controls, i)
		} else {
			s.entries = append(s.entries, i)
		}
	}
	for _, i := range s.instances {
		s.start(i, true)
	}
	t.Cleanup(func() {
		for _, i := range s.instances {
			i.mu.Lock()
			_ = i.process.Process.Signal(syscall.SIGCONT)
			_ = i.process.Process.Kill()
			_ = i.process.Wait()
			i.mu.Unlock()
		}
	})
	return s
}

// start starts the process of an instance.
func (s *configSoak) start(i *soakInstance, bootstrap bool) {
	listen := map[string]any{"metrics": s.address(i, "metrics")}
	var seeds []string
	for _, c := range s.controls[:3] {
		seeds = append(seeds, s.address(c, "control"))
	}
	settings := map[string]any{"id": i.id, "name": i.id, "failureDomain": "z", "listen": listen, "peerPort": s.ports["peer"], "seeds": seeds, "bootstrap": bootstrap,
		"heartbeatMs": 1200, "stallMs": 6000, "memoryMb": 284, "drain": map[string]any{"graceMs": 2000},
		"retryBudget": map[string]any{"ratio": 0.2, "allowance": 132, "windowMs": 10000}}
	if i.control {
		listen["control"], settings["dataFolder"] = s.address(i, "control"), filepath.Join(s.dir, i.folder)
	} else {
		listen["caller"], listen["ready"] = s.address(i, "caller"), s.address(i, "ready")
	}
	data, err := json.Marshal(settings)
	require.NoError(s.t, err)
	i.file = filepath.Join(s.dir, i.id+".jsonc")
	require.NoError(s.t, os.WriteFile(i.file, data, 0o600))
	log, err := os.OpenFile(filepath.Join(s.dir, i.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(s.t, err)
	defer log.Close()
	process := exec.Command(s.binary, "--instance", i.file)
	process.Stdout, process.Stderr = log, log
	require.NoError(s.t, process.Start())
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process = process
	i.incarnation++
}

// stop ends the process of an instance and waits for its end.
func (s *configSoak) stop(i *soakInstance, signal syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.process.Process.Signal(syscall.SIGCONT)
	_ = i.process.Process.Signal(signal)
	_ = i.process.Wait()
}

// document returns a configuration. A route of its own shows that it is in force.
func document(version int, idleMS int, content string) []byte {
	route := func(prefix string) map[string]any {
		return map[string]any{"name": "r" + strings.ReplaceAll(prefix, "/", "-"), "host": soakHost, "path_prefix": prefix, "kind": "idempotent", "timeout_ms": 900,
			"target_latency_ms": 300, "service": "app", "max_attempts": 2}
	}
	data, err := json.Marshal(map[string]any{"version": version, "services": []any{map[string]any{"name": "app"}},
		"routes": []any{route("/always/"), route(markerPath(version)), route("/" + content + "/")},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": idleMS}})
	if err != nil {
		panic(err)
	}
	return data
}

func markerPath(version int) string { return fmt.Sprintf("/only-%d/", version) }

// put sends a configuration to one control instance and returns the status.
func (s *configSoak) put(i *soakInstance, body []byte) int {
	resp, err := s.http.Post("http://"+s.address(i, "control")+"/v1/Config.Put", "application/json", strings.NewReader(string(body)))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// runOperator sends changes until the context ends. Numbers are taken from next.
func (s *configSoak) runOperator(ctx context.Context, random *rand.Rand, next func() int) {
	for ctx.Err() == nil {
		version := next()
		body := document(version, 4000+random.IntN(12000), "plain")
		c := &change{version: version, sent: time.Now()}
		s.mu.Lock()
		s.changes[version] = c
		s.mu.Unlock()
		for ctx.Err() == nil {
			status := s.put(s.controls[random.IntN(len(s.controls))], body)
			if status == http.StatusOK {
				break
			}
			if status >= 400 && status < 500 {
				s.fail("change %d is refused with %d", version, status)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		c.acknowledged = time.Now()
		s.mu.Unlock()
		switch random.IntN(5) {
		case 0: // resend
			if status := s.put(s.controls[random.IntN(len(s.controls))], body); status >= 400 && status < 500 {
				s.fail("the resend of change %d is refused with %d", version, status)
			}
		case 1: // other content under the number in force
			s.put(s.controls[random.IntN(len(s.controls))], document(version, 5000, "other"))
		case 2: // invalid
			bad := strings.Replace(string(document(version+1000, 5000, "invalid")), `"timeout_ms":900`, `"timeout_ms":0`, 1)
			if status := s.put(s.controls[random.IntN(len(s.controls))], []byte(bad)); status == http.StatusOK {
				s.fail("an invalid change is acknowledged")
			}
		}
		// Some changes stay the newest for longer than they may take to be in force.
		time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
	}
}

// floor returns the newest version that was acknowledged before a time.
func (s *configSoak) floor(before time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := 0
	for _, c := range s.changes {
		if !c.acknowledged.IsZero() && c.acknowledged.Before(before) {
			newest = max(newest, c.version)
		}
	}
	return newest
}

// read reads the configuration at a control instance; version 0 is no answer.
func (s *configSoak) read(i *soakInstance) (version int, body string) {
	resp, err := s.http.Get("http://" + s.address(i, "control") + "/v1/Config.Get")
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	var got struct{ Version int }
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(data, &got) != nil {
		return 0, ""
	}
	return got.Version, string(data)
}

// runReader reads the configuration everywhere. No answer may be older than what
// was acknowledged before the read.
func (s *configSoak) runReader(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		i := s.controls[random.IntN(len(s.controls))]
		want := s.floor(time.Now())
		version, body := s.read(i)
		if version != 0 {
			s.mu.Lock()
			s.reads++
			s.mu.Unlock()
			if version < want {
				s.fail("%s reads version %d after %d was acknowledged", i.id, version, want)
			}
			if strings.Contains(body, "/other/") || strings.Contains(body, "/invalid/") {
				s.fail("%s reads content that was refused, version %d", i.id, version)
			}
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// coreCalm reports whether all control instances have run without a disruption
// since a time.
func (s *configSoak) coreCalm(since time.Time) bool {
	for _, c := range s.controls {
		if !c.calm(since) {
			return false
		}
	}
	return true
}

// runCaller checks which versions an entry obeys, on an open connection.
func (s *configSoak) runCaller(ctx context.Context, random *rand.Rand, i *soakInstance) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	newest, incarnation := 0, 0
	var seen time.Time
	for n := 0; ctx.Err() == nil; n++ {
		i.mu.Lock()
		current := i.incarnation
		i.mu.Unlock()
		if current != incarnation {
			newest, incarnation = 0, current
		}
		want := s.floor(time.Now().Add(-applyTime))
		if want == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if random.IntN(3) == 0 {
			s.send(client, i, "/always/x", n)
			time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			continue
		}
		version := s.recentVersion(random)
		sent := time.Now()
		status := s.send(client, i, markerPath(version)+"x", n)
		inTouch := i.calm(sent.Add(-contactTime)) && s.coreCalm(sent.Add(-contactTime))
		i.mu.Lock()
		same := i.incarnation == incarnation
		i.mu.Unlock()
		s.mu.Lock()
		overtaken := false
		for _, c := range s.changes {
			overtaken = overtaken || c.version > want
		}
		s.probes++
		s.mu.Unlock()
		switch {
		case status == http.StatusNotFound && version == want && !overtaken && inTouch:
			s.fail("%s does not serve the route of version %d, which was acknowledged over %s before", i.id, want, applyTime)
		case status == http.StatusOK && version < want && inTouch:
			s.fail("%s serves a route of version %d after %d was acknowledged over %s before", i.id, version, want, applyTime)
		case status == http.StatusOK && same && version < newest && sent.Sub(seen) > slackTime:
			s.fail("%s serves a route of version %d after one of %d", i.id, version, newest)
		case status == http.StatusOK && same && version > newest:
			newest, seen = version, time.Now()
		}
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// recentVersion returns one of the last versions that were sent.
func (s *configSoak) recentVersion(random *rand.Rand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := slices.Sorted(maps.Keys(s.changes))
	versions = versions[max(0, len(versions)-recentVersions):]
	return versions[random.IntN(len(versions))]
}

// send sends a request of a caller and returns the status, 0 without an answer.
func (s *configSoak) send(client *http.Client, i *soakInstance, path string, n int) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+s.address(i, "caller")+path, nil)
	if err != nil {
		return 0
	}
	req.Host = soakHost
	req.Header.Set("Bluebellfield-Attempt-Id", fmt.Sprintf("%s-%d", i.id, n))
	req.Header.Set("Sent", strconv.FormatInt(time.Now().UnixNano(), 10))
	req.Header.Set("Bluebellfield-Deadline-Ms", "1500")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		s.mu.Lock()
		s.served++
		s.mu.Unlock()
	}
	return resp.StatusCode
}

// runDisruptions disturbs instances in overlapping series. At most one control
// instance is disturbed at a time, except for kills of the whole core, after which
// all are back within a second.
func (s *configSoak) runDisruptions(ctx context.Context, random *rand.Rand) {
	var core sync.Mutex
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		kind, pause := random.IntN(8), time.Duration(500+random.IntN(3000))*time.Millisecond
		length := time.Duration(300+random.IntN(3700)) * time.Millisecond
		control, entry := s.controls[random.IntN(len(s.controls))], s.entries[random.IntN(len(s.entries))]
		running.Go(func() {
			if kind < 5 {
				core.Lock()
				defer core.Unlock()
			}
			switch kind {
			case 0:
				s.restart(syscall.SIGKILL, false, control)
			case 1:
				s.restart(syscall.SIGTERM, false, control)
			case 2:
				s.pause(control, length)
			case 3:
				s.restart(syscall.SIGKILL, true, control)
			case 4:
				s.restart(syscall.SIGKILL, false, s.controls...)
			case 5:
				s.restart(syscall.SIGKILL, false, entry)
			case 6:
				s.restart(syscall.SIGTERM, false, entry)
			case 7:
				s.pause(entry, length)
			}
			if kind < 5 {
				// A lost instance counts as lost until it has caught up.
				time.Sleep(4 * time.Second)
			}
		})
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// restart ends instances at the same moment and starts them again.
func (s *configSoak) restart(signal syscall.Signal, wipe bool, all ...*soakInstance) {
	var wait sync.WaitGroup
	for _, i := range all {
		wait.Go(func() {
			defer i.disrupt()()
			s.stop(i, signal)
			if wipe {
				_ = os.RemoveAll(filepath.Join(s.dir, i.folder))
			}
			time.Sleep(restartPause)
			s.start(i, false)
			time.Sleep(100 * time.Millisecond)
		})
	}
	wait.Wait()
}

func (s *configSoak) pause(i *soakInstance, length time.Duration) {
	defer i.disrupt()()
	i.mu.Lock()
	process := i.process.Process
	i.mu.Unlock()
	_ = process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = process.Signal(syscall.SIGCONT)
}

func runConfigurationSoak(t *testing.T, binary string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 31))
	s := newConfigSoak(t, binary, seed, 3, 3)
	// Each goroutine has a source of its own.
	source := func() *rand.Rand { return rand.New(rand.NewPCG(random.Uint64(), 1)) }
	ctx, cancel := context.WithTimeout(t.Context(), soakDuration)
	defer cancel()
	workers, stopWorkers := context.WithCancel(t.Context())
	var background, running sync.WaitGroup
	for n := range 3 {
		w := &soakWorker{soak: s, steady: n == 0, random: source()}
		background.Go(func() { w.run(workers, n) })
	}
	defer background.Wait()
	defer stopWorkers()
	var numbers sync.Mutex
	version, steps := 0, source()
	next := func() int {
		numbers.Lock()
		defer numbers.Unlock()
		version += 1 + steps.IntN(3)
		return version
	}
	operators := 1 + random.IntN(2)
	for range operators {
		r := source()
		running.Go(func() { s.runOperator(ctx, r, next) })
	}
	reader, disruptions := source(), source()
	running.Go(func() { s.runReader(ctx, reader) })
	for _, i := range s.entries {
		r := source()
		running.Go(func() { s.runCaller(ctx, r, i) })
	}
	running.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(contactTime):
			s.runDisruptions(ctx, disruptions)
		}
	})
	running.Wait()

	// All instances run; what was acknowledged last is read back everywhere.
	want := s.floor(time.Now())
	for _, i := range s.controls {
		require.Eventually(t, func() bool { got, _ := s.read(i); return got >= want }, 15*time.Second, 50*time.Millisecond, "%s reads back version %d", i.id, want)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("%d changes, %d reads, %d requests on their routes, %d requests served; %d departures and %d pauses told",
		len(s.changes), s.reads, s.probes, s.served, s.departures, s.pauses)
	if len(s.failures) > 0 {
		keep, _ := os.MkdirTemp("", fmt.Sprintf("config-soak-%d-", seed))
		_ = os.CopyFS(keep, os.DirFS(s.dir))
		t.Logf("logs: %s", keep)
	}
	require.Empty(t, s.failures)
	require.Positive(t, want)
	require.Greater(t, s.probes, 100)
	require.Greater(t, s.served, 300)
}
