package control

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/bluebellfield/bluebellfield/internal/peer"
)

// Overhead of messages between daemons, in bytes.
const (
	// yamuxHeaderBytes is the size of the header of a yamux frame.
	yamuxHeaderBytes = 12
	// tcpHeaderBytes is the size of the IPv4 and TCP headers with the timestamps
	// option.
	tcpHeaderBytes = 52
	// keepAliveBytes and keepAlivePackets are the keep-alive traffic of one
	// yamux connection per period, in both directions. Each side sends one ping.
	// The response acknowledges the ping and is itself acknowledged by a separate
	// packet.
	keepAliveBytes   = 4 * yamuxHeaderBytes
	keepAlivePackets = 6
	// httpHeaderBytes is the total size of the HTTP headers of a heartbeat and its
	// response.
	httpHeaderBytes = 300
)

// framedSize returns the size of a payload with the Frame message around it,
// the length prefix and the yamux header.
func framedSize(payload int) int {
	frame := protowire.SizeTag(1) + protowire.SizeBytes(payload)
	return frame + protowire.SizeVarint(uint64(frame)) + yamuxHeaderBytes
}

// traffic counts messages and their bytes, by direction.
type traffic struct {
	messages, payload, framed [2]int
}

// Indexes of the counters in traffic.
const (
	sent = iota
	received
)

func (t *traffic) add(direction, payload int) {
	t.messages[direction]++
	t.payload[direction] += payload
	t.framed[direction] += framedSize(payload)
}

// wireBytes returns the bytes in both directions with TCP/IP headers. It is an
// upper bound: it counts one segment and one acknowledgement for each message,
// while in practice messages share segments and acknowledgements.
func (t *traffic) wireBytes() int {
	return t.framed[sent] + t.framed[received] + 2*tcpHeaderBytes*(t.messages[sent]+t.messages[received])
}

// keepAliveBytesPerSecond returns the keep-alive traffic of all connections in
// both directions.
func keepAliveBytesPerSecond(connections int, withTCPHeaders bool) float64 {
	bytes := keepAliveBytes
	if withTCPHeaders {
		bytes += keepAlivePackets * tcpHeaderBytes
	}
	return float64(connections*bytes) / peer.KeepAliveInterval(connections+1).Seconds()
}
