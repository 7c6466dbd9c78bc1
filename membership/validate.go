package membership

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// maxCount bounds the counts in reports of upstreams. It is far above those of any
// upstream, and sums over a deployment do not overflow.
const maxCount = 1 << 20

// checkCount returns an error if a count in a report is out of range.
func checkCount(name string, n int) error {
	if n < 0 || n > maxCount {
		return fmt.Errorf("%s is %d, not between 0 and %d", name, n, maxCount)
	}
	return nil
}

// Validate returns an error for an announcement that names no upstream to use.
func (a *Announcement) Validate() error {
	if a.ID == "" {
		return errors.New("id is missing")
	}
	return errors.Join(CheckAddress(a.Address), checkCount("maxConcurrent", a.MaxConcurrent), checkCount("accelerators", a.Accelerators))
}

// Validate returns an error for a heartbeat with values that are out of range.
func (h *Heartbeat) Validate() error {
	return errors.Join(checkCount("running", h.Running), checkCount("queued", h.Queued), checkCount("rank", h.InForce.Rank))
}

// CheckAddress returns an error if an upstream cannot be reached at an address for
// its form alone.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("address %q: %w", address, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); host == "" || err != nil || n == 0 {
		return fmt.Errorf("address %q is not a host with a port from 1 to 65535", address)
	}
	return nil
}
