package fake

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// loopbackCount is the number of addresses that LoopbackIP has returned in this
// process.
var loopbackCount atomic.Uint32

// LoopbackIP returns an IP address for processes that stop and start again on their
// ports. Outgoing connections use ports of 127.0.0.1. With a different address, they
// cannot occupy the port of a process that is down. On hosts that support only
// 127.0.0.1, it returns that.
func LoopbackIP() string {
	const octetValues = 250 // excludes 0 and 255 as octets
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid/octetValues%octetValues, 1+pid%octetValues, 1+loopbackCount.Add(1)%octetValues)
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "127.0.0.1"
	}
	_ = l.Close()
	return host
}
