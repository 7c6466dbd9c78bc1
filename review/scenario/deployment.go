package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemonProgram is the program that the deploy file names.
const daemonProgram = "target/bluebellfieldd"

const (
	heartbeatInterval = 1200 * time.Millisecond
	configApply       = 2 * time.Second
	contact           = 3 * time.Second
	// seedCount is the number of control daemons that the settings name.
	seedCount = 3
)

var (
	processesMu sync.Mutex
	processes   []*exec.Cmd
	folders     []string
)

// stopAll ends the processes that this run started and removes its folders.
func stopAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		_ = p.Process.Kill()
	}
	for _, p := range processes {
		_ = p.Wait()
	}
	processes = nil
	for _, f := range folders {
		_ = os.RemoveAll(f)
	}
}

// daemon is one process of the deployment.
type daemon struct {
	name, ip, zone string
	control        bool
	settings, log  string
	process        *os.Process
	restarted      bool
}

// deployment is a small deployment of control and entry daemons in three zones.
type deployment struct {
	rec     *record
	folder  string
	ports   ports
	subnet  string
	daemons []*daemon
	http    *http.Client
	// patience is how long clients wait for an answer.
	patience time.Duration
}

type ports struct{ caller, ready, control, peer, metrics int }

var zones = []string{"zone-a", "zone-b", "zone-c"}

// startDeployment starts the given numbers of control and entry daemons, and waits
// until the control daemons accept connections.
func startDeployment(rec *record, controls, entries int) (*deployment, error) {
	if _, err := os.Stat(daemonProgram); err != nil {
		return nil, fmt.Errorf("build the project first: %w", err)
	}
	folder, err := os.MkdirTemp("", "bluebellfield-review-")
	if err != nil {
		return nil, err
	}
	processesMu.Lock()
	folders = append(folders, folder)
	processesMu.Unlock()
	pid := os.Getpid()
	d := &deployment{rec: rec, folder: folder, subnet: fmt.Sprintf("127.%d.%d.", 64+pid%64, pid/64%250),
		patience: 3 * time.Second, http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for i := range controls {
		zone := zones[i%len(zones)]
		d.daemons = append(d.daemons, &daemon{name: fmt.Sprintf("core-%s-%d", zone, i), ip: fmt.Sprintf("%s%d", d.subnet, 11+i), zone: zone, control: true})
	}
	for i := range entries {
		zone := zones[i%len(zones)]
		d.daemons = append(d.daemons, &daemon{name: fmt.Sprintf("front-%s-%d", zone, i), ip: fmt.Sprintf("%s%d", d.subnet, 31+i), zone: zone})
	}
	if d.ports, err = d.freePorts(); err != nil {
		return nil, err
	}
	for _, m := range d.daemons {
		if err := d.start(m); err != nil {
			return nil, err
		}
	}
	return d, waitFor(15*time.Second, "control daemons", func() bool {
		for _, address := range d.controls() {
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return false
			}
			_ = conn.Close()
		}
		return true
	})
}

// freePorts returns ports that are free on the addresses of all daemons.
func (d *deployment) freePorts() (ports, error) {
	var found []int
	for len(found) < 5 {
		port, err := freePort(d.daemons[0].ip)
		if err != nil {
			return ports{}, err
		}
		free := true
		for _, m := range d.daemons[1:] {
			l, err := net.Listen("tcp", net.JoinHostPort(m.ip, fmt.Sprint(port)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			found = append(found, port)
		}
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// writeSettings writes what deploy/settings.jsonc gives for a daemon.
func (d *deployment) writeSettings(m *daemon) error {
	at := func(port int) string { return net.JoinHostPort(m.ip, fmt.Sprint(port)) }
	listen := map[string]any{"metrics": at(d.ports.metrics)}
	s := map[string]any{"id": m.ip, "name": m.name, "failureDomain": m.zone, "listen": listen, "peerPort": d.ports.peer,
		"seeds": d.controls()[:seedCount], "bootstrap": !m.restarted, "heartbeatMs": heartbeatInterval.Milliseconds(), "stallMs": 6000, "memoryMb": 284,
		"drain": map[string]any{"graceMs": 8000}, "retryBudget": map[string]any{"ratio": 0.2, "allowance": 132, "windowMs": 10000}}
	if m.control {
		listen["control"] = at(d.ports.control)
		s["dataFolder"] = filepath.Join(d.folder, m.name)
	} else {
		listen["caller"], listen["ready"] = at(d.ports.caller), at(d.ports.ready)
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	m.settings = filepath.Join(d.folder, m.name+".jsonc")
	return os.WriteFile(m.settings, data, 0o600)
}

func (d *deployment) start(m *daemon) error {
	if err := d.writeSettings(m); err != nil {
		return err
	}
	m.log = filepath.Join(d.folder, m.name+".log")
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p := exec.Command(daemonProgram, "--instance", m.settings)
	p.Stdout, p.Stderr = out, out
	if err := p.Start(); err != nil {
		return err
	}
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
	m.process = p.Process
	d.rec.printf("started %s at %s, process %d", m.name, m.ip, p.Process.Pid)
	return nil
}

// restart kills a daemon and starts it again, as the platform does.
func (d *deployment) restart(all ...*daemon) error {
	for _, m := range all {
		if err := d.signal(m, syscall.SIGKILL); err != nil {
			return err
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, m := range all {
		m.restarted = true
		if err := d.start(m); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a daemon.
func (d *deployment) signal(m *daemon, s syscall.Signal) error {
	d.rec.printf("%s gets %s", m.name, s)
	return m.process.Signal(s)
}

// controls returns the addresses that serve the operator and the workers.
func (d *deployment) controls() []string {
	var all []string
	for _, m := range d.daemons {
		if m.control {
			all = append(all, net.JoinHostPort(m.ip, fmt.Sprint(d.ports.control)))
		}
	}
	return all
}

// entries returns the daemons that serve clients.
func (d *deployment) entries() []*daemon {
	var all []*daemon
	for _, m := range d.daemons {
		if !m.control {
			all = append(all, m)
		}
	}
	return all
}

func (d *deployment) callerAddress(m *daemon) string {
	return net.JoinHostPort(m.ip, fmt.Sprint(d.ports.caller))
}

// awaitReady waits until all entry daemons answer their health check with 200.
func (d *deployment) awaitReady() error {
	return waitFor(20*time.Second, "entry daemons", func() bool {
		for _, m := range d.entries() {
			resp, err := d.http.Get("http://" + net.JoinHostPort(m.ip, fmt.Sprint(d.ports.ready)) + "/v1/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// post sends a call to a control daemon and returns the status.
func (d *deployment) post(control, path string, body []byte) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+control+path, bytesReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 4096))
	return resp.StatusCode, strings.TrimSpace(string(answer)), err
}

// putConfig sends a configuration as the operator does: to one control daemon
// after the other until it is acknowledged. It returns the time of the
// acknowledgement.
func (d *deployment) putConfig(c config) (time.Time, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return time.Time{}, err
	}
	for try := range 60 {
		control := d.controls()[try%len(d.controls())]
		status, answer, err := d.post(control, "/v1/Config.Put", body)
		d.rec.printf("operator: version %d to %s: %d %s%s", c.Version, control, status, answer, errorText(err))
		if status == http.StatusOK {
			return time.Now(), nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, errors.New("the configuration was not acknowledged")
}

func waitFor(timeout time.Duration, what string, done func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("%s: not ready after %s", what, timeout)
}
