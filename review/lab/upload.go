package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// uploadStep is the time between two parts of a body.
const uploadStep = 20 * time.Millisecond

// slowBody is a body that a client sends at a steady rate.
type slowBody struct {
	left, part int
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(uploadStep)
	n := min(b.part, b.left, len(p))
	b.left -= n
	return n, nil
}

// Upload sends a request with a body of a size, which takes a time to send.
func Upload(entry, host, path string, size int, took, deadline time.Duration) Answer {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	body := &slowBody{left: size, part: size/int(took/uploadStep) + 1}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", entry, callerPort, path), body)
	if err != nil {
		return Answer{ID: id, Err: err}
	}
	req.Host, req.ContentLength, req.Close = host, int64(size), true
	req.Header.Set("Bluebellfield-Attempt-Id", id)
	req.Header.Set("Bluebellfield-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{ID: id, Err: err}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return Answer{ID: id, Status: resp.StatusCode, Server: resp.Header.Get("Bluebellfield-Server-Seal"), Body: answer, Err: err}
}

// ResidentKB returns the resident memory of the process of a host.
func (l *Lab) ResidentKB(host string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", l.processes[host].cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, err := strconv.Atoi(fields[1])
			if err == nil {
				return kb
			}
		}
	}
	return 0
}
