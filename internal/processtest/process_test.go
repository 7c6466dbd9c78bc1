// Package processtest starts the system's own processes on loopback addresses and
// has clients and upstreams that don't behave connect to them. The tests check what
// doesn't depend on the speed of the machine: that the process lives, that its memory
// and descriptors stay under their bounds, and that ordinary requests are answered.
package processtest

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	startTimeout   = 30 * time.Second
	sampleInterval = 20 * time.Millisecond
)

// buildDaemon compiles the daemon without the race detector, which multiplies the
// memory of a process, and returns the path of the binary.
func buildDaemon(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "bluebellfieldd")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/bluebellfieldd").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// process is a process of the system under test.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	log    *bytes.Buffer
	exited chan struct{}
	// ip is the address of the port for callers.
	ip string

	mu sync.Mutex
	// peakMemory is the largest sum of the resident memory and the unread bytes of
	// the connections; peakDescriptors is the largest number of open descriptors.
	peakMemory, peakUnread, peakDescriptors int
}

// startProcess starts a process with a limit on its descriptors.
func startProcess(t *testing.T, binary, ip string, descriptors int, args ...string) *process {
	p := &process{t: t, ip: ip, log: &bytes.Buffer{}, exited: make(chan struct{})}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	p.cmd = exec.Command("sh", append([]string{"-c", script, binary}, args...)...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	stop := make(chan struct{})
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		p.sample(stop)
	}()
	t.Cleanup(func() {
		close(stop)
		<-sampled
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("end of the log of the process:\n%s", lastLines(p.log.String(), 20))
		}
	})
	return p
}

func lastLines(text string, n int) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(len(lines)-n, 0):], "\n")
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// sample records the peaks of memory and descriptors.
func (p *process) sample(stop <-chan struct{}) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-p.exited:
			return
		case <-ticker.C:
		}
		unread := unreadBytes(p.ip)
		memory := residentBytes(p.cmd.Process.Pid) + unread
		descriptors := openDescriptors(p.cmd.Process.Pid)
		p.mu.Lock()
		p.peakMemory, p.peakUnread, p.peakDescriptors = max(p.peakMemory, memory), max(p.peakUnread, unread), max(p.peakDescriptors, descriptors)
		p.mu.Unlock()
	}
}

func residentBytes(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			return kilobytes << 10
		}
	}
	return 0
}

func openDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// unreadBytes returns the bytes that wait in the receive queues of the connections
// that a process has accepted on an address of its own.
func unreadBytes(ip string) int {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	address := net.ParseIP(ip).To4()
	local := strings.ToUpper(hex.EncodeToString([]byte{address[3], address[2], address[1], address[0]})) + ":"
	const listening = "0A"
	sum := int64(0)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == listening {
			continue
		}
		_, queued, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queued, 16, 64)
		sum += n
	}
	return int(sum)
}
