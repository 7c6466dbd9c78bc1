// Package instance runs one process of a deployment: an entry instance, a
// control instance, or both. Instances discover each other through seed
// addresses.
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

// Settings is the configuration of an instance, stored as JSON with comments.
// Quantities may have fractions, since the platform's values may.
type Settings struct {
	// ID is the IP address of the host, at which other instances connect to it.
	ID            string `json:"id"`
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	Listen        Listen `json:"listen"`
	// PeerPort is the port for connections between instances.
	PeerPort int `json:"peerPort"`
	// Seeds are addresses of control instances. Only the hosts are used.
	Seeds []string `json:"seeds"`
	// Bootstrap must be true only for the first start of the whole deployment.
	Bootstrap bool `json:"bootstrap"`
	// DataFolder is the folder for the log of a control instance.
	DataFolder string `json:"dataFolder"`
	// HeartbeatMS is the interval of the upstreams' heartbeats, in milliseconds.
	HeartbeatMS float64 `json:"heartbeatMs"`
	// StallMS is the time from the loss of a member until the head of the stalled
	// group gives up, in milliseconds.
	StallMS float64 `json:"stallMs"`
	// MemoryMB is the memory that the process may use, in megabytes; 0 means what the
	// machine or the control group has, less a reserve.
	MemoryMB float64 `json:"memoryMb"`
	// MaxDescriptors is the number of descriptors that the process may open; 0 means
	// as many as the system allows.
	MaxDescriptors float64     `json:"maxDescriptors"`
	Drain          Drain       `json:"drain"`
	RetryBudget    RetryBudget `json:"retryBudget"`
	LogLevel       string      `json:"logLevel"`
}

// Listen holds the listen addresses of an instance. Servers with an empty
// address are not started.
type Listen struct {
	// Caller makes the process an entry instance; Ready is the address of its
	// health check.
	Caller string `json:"caller"`
	Ready  string `json:"ready"`
	// Control makes the process a control instance.
	Control string `json:"control"`
	Metrics string `json:"metrics"`
}

// Drain configures a planned stop.
type Drain struct {
	// GraceMS is the time from the stop signal until the process is killed, in
	// milliseconds.
	GraceMS float64 `json:"graceMs"`
}

// RetryBudget limits the retries to a service across all entry instances.
type RetryBudget struct {
	// Ratio is the maximum ratio of retries to first attempts.
	Ratio float64 `json:"ratio"`
	// Allowance is the number of retries that are allowed in addition.
	Allowance float64 `json:"allowance"`
	// WindowMS is the period over which attempts are counted, in milliseconds.
	WindowMS float64 `json:"windowMs"`
}

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse parses and validates the content of a settings file. Error messages use
// name as the file name.
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
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return s, nil
}

func (s *Settings) validate() error {
	var problems []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Errorf(format, args...))
		}
	}
	require(net.ParseIP(s.ID) != nil, "id: %q is not an IP address", s.ID)
	require(s.FailureDomain != "", "failureDomain: missing")
	require(s.PeerPort > 0 && s.PeerPort < 1<<16, "peerPort: %d is not a port", s.PeerPort)
	require(len(s.Seeds) > 0, "seeds: at least one seed is required")
	for _, seed := range s.Seeds {
		_, _, err := net.SplitHostPort(seed)
		require(err == nil, "seeds: %q is not an address with a port", seed)
	}
	require(s.Listen.Caller != "" || s.Listen.Control != "", "listen: caller or control is required")
	require(s.Listen.Control == "" || s.DataFolder != "", "dataFolder: required for a control instance")
	require(s.HeartbeatMS > 0, "heartbeatMs: %v is not positive", s.HeartbeatMS)
	require(s.StallMS >= 0, "stallMs: %v is negative", s.StallMS)
	require(s.MaxDescriptors >= 0, "maxDescriptors: %v is negative", s.MaxDescriptors)
	require(s.Drain.GraceMS > 0, "drain.graceMs: %v is not positive", s.Drain.GraceMS)
	require(s.RetryBudget.Ratio >= 0 && s.RetryBudget.Allowance >= 0, "retryBudget: ratio and allowance must not be negative")
	require(s.RetryBudget.WindowMS > 0, "retryBudget.windowMs: %v is not positive", s.RetryBudget.WindowMS)
	return errors.Join(problems...)
}

// seedIDs returns the instance IDs of the seeds, which are their hosts.
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

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
