package upstream

import (
	"fmt"
	"net"
	"strconv"
)

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
