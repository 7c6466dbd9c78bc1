package nettest

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an address that accepts connections, or that another listener can get.
func TestRefusingAddress(t *testing.T) {
	address := RefusingAddress(t)
	_, err := net.Dial("tcp", address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	_, err = net.Listen("tcp", address)
	require.ErrorIs(t, err, syscall.EADDRINUSE)
}
