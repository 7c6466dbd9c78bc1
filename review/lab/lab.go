// Package lab runs a small deployment of separate processes on loopback addresses
// for the cases of the review, with stand-ins for workers, clients and the operator.
package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Ports of the deployment, the same on every address. New chooses free ones.
var callerPort, readyPort, controlPort, peerPort, metricsPort, workerPort int

// Bounds of the users' pages.
const (
	HeartbeatInterval = 1200 * time.Millisecond
	ContactTime       = 3 * time.Second
	DrainTime         = 2 * time.Second
	ReuseTime         = 2 * time.Second
)

// Lab is one run of a case.
type Lab struct {
	Trouble bool
	started time.Time
	folder  string
	network string
	binary  string

	mu        sync.Mutex
	record    *os.File
	broken    []string
	processes map[string]*process
	hosts     int
	version   int
}

// process is one process of the system under test.
type process struct {
	settings string
	control  bool
	host     string
	cmd      *exec.Cmd
	done     chan struct{}
}

// New creates a run that writes to a record. The environment variable TROUBLE=0
// turns the disruption off.
func New(recordPath string) (*Lab, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "bluebellfield-review-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/bluebellfieldd")
	if err != nil {
		return nil, err
	}
	if err := choosePorts(); err != nil {
		return nil, err
	}
	network := fmt.Sprintf("127.%d.%d", 80+rand.IntN(100), 1+rand.IntN(250))
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), folder: folder, network: network, binary: binary,
		record: record, processes: map[string]*process{}}
	l.Log("trouble: %v", l.Trouble)
	return l, nil
}

// choosePorts sets the ports to free ones. They are open together until all are known,
// so that they differ.
func choosePorts() error {
	for _, port := range []*int{&callerPort, &readyPort, &controlPort, &peerPort, &metricsPort, &workerPort} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer listener.Close()
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// Log adds a line to the record.
func (l *Lab) Log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// Break records that the rule was broken.
func (l *Lab) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.Log("RULE BROKEN: %s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, text)
}

// Host returns a loopback address that was not used in this run.
func (l *Lab) Host() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts++
	return fmt.Sprintf("%s.%d", l.network, l.hosts)
}

// Finish ends all processes, closes the record and returns the exit code.
func (l *Lab) Finish(err error) int {
	for host := range l.processes {
		l.Kill(host)
	}
	code := Held
	switch {
	case err != nil:
		l.Log("not run: %v", err)
		code = NotRun
	case len(l.broken) > 0:
		code = Broken
	}
	l.Log("exit code %d", code)
	_ = l.record.Close()
	_ = os.RemoveAll(l.folder)
	return code
}

// Start prepares and starts the whole deployment: control processes on the first
// hosts, then entries.
func (l *Lab) Start(controls, entries int) (controlHosts, entryHosts []string, err error) {
	for range controls {
		controlHosts = append(controlHosts, l.Host())
	}
	for range entries {
		entryHosts = append(entryHosts, l.Host())
	}
	for i, host := range controlHosts {
		if err := l.add(host, fmt.Sprintf("zone-%d", i+1), true, controlHosts, true); err != nil {
			return nil, nil, err
		}
	}
	for i, host := range entryHosts {
		if err := l.add(host, fmt.Sprintf("zone-%d", i%controls+1), false, controlHosts, true); err != nil {
			return nil, nil, err
		}
	}
	return controlHosts, entryHosts, nil
}

// AddControl starts another control process with an empty disk.
func (l *Lab) AddControl(host, zone string, seeds []string) error {
	return l.add(host, zone, true, seeds, false)
}

func (l *Lab) add(host, zone string, control bool, seeds []string, bootstrap bool) error {
	p := &process{settings: filepath.Join(l.folder, host+".jsonc"), control: control, host: host}
	l.processes[host] = p
	if err := l.writeSettings(p, zone, seeds, bootstrap); err != nil {
		return err
	}
	if err := l.Restart(host); err != nil {
		return err
	}
	// The platform sets bootstrap on the first start only.
	return l.writeSettings(p, zone, seeds, false)
}

// writeSettings writes what the template of the deploy file gives.
func (l *Lab) writeSettings(p *process, zone string, seeds []string, bootstrap bool) error {
	listen := map[string]any{"metrics": fmt.Sprintf("%s:%d", p.host, metricsPort)}
	if p.control {
		listen["control"] = fmt.Sprintf("%s:%d", p.host, controlPort)
	} else {
		listen["caller"], listen["ready"] = fmt.Sprintf("%s:%d", p.host, callerPort), fmt.Sprintf("%s:%d", p.host, readyPort)
	}
	var addresses []string
	for _, seed := range seeds {
		addresses = append(addresses, fmt.Sprintf("%s:%d", seed, controlPort))
	}
	settings := map[string]any{"id": p.host, "name": p.host, "failureDomain": zone, "listen": listen, "peerPort": peerPort,
		"seeds": addresses, "bootstrap": bootstrap, "heartbeatMs": HeartbeatInterval.Milliseconds(), "stallMs": 6000, "memoryMb": 284,
		"drain":       map[string]any{"graceMs": 8000},
		"retryBudget": map[string]any{"ratio": 0.2, "allowance": 132, "windowMs": 10000}}
	if p.control {
		settings["dataFolder"] = filepath.Join(l.folder, p.host+".data")
		if err := os.MkdirAll(settings["dataFolder"].(string), 0o755); err != nil {
			return err
		}
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	// The process may be reading the file.
	temporary := p.settings + ".new"
	if err := os.WriteFile(temporary, data, 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, p.settings)
}

// Restart starts the process of a host and waits until it has opened its ports.
func (l *Lab) Restart(host string) error {
	p := l.processes[host]
	output, err := os.OpenFile(filepath.Join(l.folder, host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	p.cmd = exec.Command(l.binary, "--instance", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	port := peerPort
	deadline := time.Now().Add(5 * time.Second)
	for {
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", host, port), 200*time.Millisecond)
		if err == nil {
			_ = conn.Close()
			l.Log("process %s runs", host)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("process %s does not listen: %w", host, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Kill ends the process of a host with SIGKILL.
func (l *Lab) Kill(host string) {
	p := l.processes[host]
	if p == nil || p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	l.Log("process %s killed", host)
}

// KeepLogs copies the logs of the system's processes next to the record.
func (l *Lab) KeepLogs(folder string) {
	for host := range l.processes {
		data, err := os.ReadFile(filepath.Join(l.folder, host+".log"))
		if err == nil {
			_ = os.WriteFile(filepath.Join(folder, host+".log"), data, 0o644)
		}
	}
}

// PutConfiguration sends a configuration until it is acknowledged.
func (l *Lab) PutConfiguration(controls []string, configuration map[string]any) error {
	l.version++
	configuration["version"] = l.version
	body, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(15 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		status := Post(controls[i%len(controls)], "/v1/Config.Put", body, time.Second)
		if status == http.StatusOK {
			l.Log("configuration %d acknowledged", l.version)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d was not acknowledged", l.version)
}

// AwaitReady waits until an entry counts as ready.
func (l *Lab) AwaitReady(entries []string) error {
	deadline := time.Now().Add(15 * time.Second)
	for _, host := range entries {
		for {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/v1/readyz", host, readyPort))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %s does not become ready", host)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Post sends a call to a control process. It returns the status, or 0 without an
// answer.
func Post(control, path string, body []byte, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", control, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Limits are the limits of a configuration.
func Limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}
