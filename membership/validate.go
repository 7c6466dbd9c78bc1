package membership

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
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
	return errors.Join(CheckName(a.ID), CheckAddress(a.Address), checkCount("maxConcurrent", a.MaxConcurrent), checkCount("accelerators", a.Accelerators))
}

// Validate returns an error for a heartbeat with values that are out of range.
func (h *Heartbeat) Validate() error {
	return errors.Join(CheckName(h.ID), checkCount("running", h.Running), checkCount("queued", h.Queued), checkCount("rank", h.InForce.Rank))
}

// maxNameBytes bounds the names that upstreams choose. They are kept for each
// upstream and sent between instances.
const maxNameBytes = 256

// CheckName returns an error for a name that cannot be passed on: messages between
// instances hold UTF-8 only, and the id of an upstream is sent to it in a header,
// which must not contain control characters.
func CheckName(name string) error {
	switch {
	case len(name) > maxNameBytes:
		return fmt.Errorf("name of %d bytes is longer than %d", len(name), maxNameBytes)
	case !utf8.ValidString(name):
		return fmt.Errorf("name %q is not UTF-8", name)
	case strings.ContainsFunc(name, unicode.IsControl):
		return fmt.Errorf("name %q contains a control character", name)
	}
	return nil
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
