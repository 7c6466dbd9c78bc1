// Package instance runs one process of a deployment whose instances find each
// other: an entry instance, a control instance, or both.
package instance

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/tailscale/hujson"
)

// Settings of a process, JSON with comments.
type Settings struct {
	// ID is the IP address of the host, by which other instances find it.
	ID            string `json:"id"`
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	Listen        Listen `json:"listen"`
	// PeerPort is the port of the connections between instances.
	PeerPort int `json:"peerPort"`
	// Seeds are addresses of control instances; only their hosts are used.
	Seeds []string `json:"seeds"`
	// Bootstrap is true only when the whole deployment starts for the first
	// time.
	Bootstrap bool `json:"bootstrap"`
	// DataFolder holds the log of a control instance.
	DataFolder string `json:"dataFolder"`
	// HeartbeatMS is the interval of the upstreams' heartbeats, in milliseconds.
	HeartbeatMS int `json:"heartbeatMs"`
	// StallMS is how long a group that lost a member stands still before its
	// head gives up, in milliseconds.
	StallMS int `json:"stallMs"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB    int         `json:"memoryMb"`
	Drain       Drain       `json:"drain"`
	RetryBudget RetryBudget `json:"retryBudget"`
	LogLevel    string      `json:"logLevel"`
}

// Listen holds the addresses that a process serves; an empty one is not served.
type Listen struct {
	// Caller and Ready make the process an entry instance.
	Caller string `json:"caller"`
	Ready  string `json:"ready"`
	// Control makes it a control instance.
	Control string `json:"control"`
	Metrics string `json:"metrics"`
}

// Drain bounds a planned stop.
type Drain struct {
	// GraceMS is the time between the request to stop and the kill, in
	// milliseconds.
	GraceMS int `json:"graceMs"`
}

// RetryBudget bounds repeated sends to a service over all entry instances.
type RetryBudget struct {
	// Ratio is the part of the first sends that may be repeated.
	Ratio float64 `json:"ratio"`
	// Allowance is the number of further repeated sends.
	Allowance int `json:"allowance"`
	// WindowMS is the span that is counted, in milliseconds.
	WindowMS int `json:"windowMs"`
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse checks the content of a settings file; name stands in its errors.
func Parse(name string, data []byte) (*Settings, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	s := &Settings{LogLevel: "info"}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return s, nil
}

func (s *Settings) check() error {
	var problems []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Errorf(format, args...))
		}
	}
	require(net.ParseIP(s.ID) != nil, "id: %q is not an IP address", s.ID)
	require(s.FailureDomain != "", "failureDomain: missing")
	require(s.PeerPort > 0 && s.PeerPort < 1<<16, "peerPort: %d is not a port", s.PeerPort)
	require(len(s.Seeds) > 0, "seeds: at least one is needed")
	for _, seed := range s.Seeds {
		_, _, err := net.SplitHostPort(seed)
		require(err == nil, "seeds: %q is not an address with a port", seed)
	}
	require(s.Listen.Caller != "" || s.Listen.Control != "", "listen: caller or control is needed")
	require(s.Listen.Control == "" || s.DataFolder != "", "dataFolder: a control instance needs one")
	require(s.HeartbeatMS > 0, "heartbeatMs: %d is not positive", s.HeartbeatMS)
	require(s.StallMS >= 0, "stallMs: %d is negative", s.StallMS)
	require(s.Drain.GraceMS > 0, "drain.graceMs: %d is not positive", s.Drain.GraceMS)
	require(s.RetryBudget.Ratio >= 0 && s.RetryBudget.Allowance >= 0, "retryBudget: ratio and allowance must not be negative")
	require(s.RetryBudget.WindowMS > 0, "retryBudget.windowMs: %d is not positive", s.RetryBudget.WindowMS)
	return errors.Join(problems...)
}

// seedIDs returns the ids of the seeds: their hosts.
func (s *Settings) seedIDs() []string {
	ids := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			ids = append(ids, host)
		}
	}
	return ids
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
