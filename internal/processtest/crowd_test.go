package processtest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// ordinaryBodyBytes is the size of the body of an ordinary request.
	ordinaryBodyBytes = 3000
	// completing is the number of clients of a crowd of which one completes its
	// bodies.
	completing = 8
	// reconnectPause is the time after which a client whose connection was closed
	// connects again.
	reconnectPause = 200 * time.Millisecond
	requestTimeout = 30 * time.Second
)

// requestIDs counts the requests, each of which has an id of its own.
var requestIDs atomic.Int64

func nextID() int { return int(requestIDs.Add(1)) }

// request sends one request on a connection of its own and returns the status of its
// answer, or 0 without a complete one. A success must have the body of the upstream.
func (s *system) request(size int) int {
	conn, err := net.DialTimeout("tcp", s.address, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	go func() {
		_, _ = conn.Write(append(s.head(nextID(), fmt.Sprintf("Content-Length: %d", size)), s.body(size)...))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK && string(body) != served {
		return 0
	}
	return resp.StatusCode
}

// ordinaryRequest sends a request as an ordinary caller does, which comes back after
// a refusal.
func (s *system) ordinaryRequest(size int) bool {
	const attempts, pause = 100, 100 * time.Millisecond
	for range attempts {
		if s.request(size) == http.StatusOK {
			return true
		}
		time.Sleep(pause)
	}
	return false
}

// upload is the body of a request of a client that doesn't behave.
type upload struct {
	framing string
	// pieces are sent one after the other, with a pause between them; missing is
	// the end of the body, which most clients keep back.
	pieces  [][]byte
	missing []byte
	// endless repeats the last piece until the connection is closed.
	endless bool
	// neverComplete makes all clients keep back the end.
	neverComplete bool
	// openHead leaves out the end of the head.
	openHead bool
}

// piecePause is the pause between the pieces of a body.
const piecePause = 20 * time.Millisecond

func split(data []byte, size int) [][]byte {
	var pieces [][]byte
	for len(data) > size {
		pieces, data = append(pieces, data[:size]), data[size:]
	}
	return append(pieces, data)
}

// chunked returns a body in chunks of a size, without the end of the last one.
func chunked(data []byte, size int) (start, missing []byte) {
	var out bytes.Buffer
	for _, chunk := range split(data, size) {
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	encoded := out.Bytes()
	cut := len(encoded) - len("x\r\n")
	return encoded[:cut], append(bytes.Clone(encoded[cut:]), "0\r\n\r\n"...)
}

// ways are the ways in which the clients of a crowd don't behave.
var ways = []struct {
	name   string
	upload func(s *system, l limits) upload
}{
	{"large_bodies_whole", func(s *system, l limits) upload {
		body := s.body(l.maxBodyBytes)
		return upload{framing: fmt.Sprintf("Content-Length: %d", len(body)), pieces: [][]byte{body[:len(body)-1]}, missing: body[len(body)-1:]}
	}},
	{"large_bodies_piece_by_piece", func(s *system, l limits) upload {
		body := s.body(l.maxBodyBytes)
		return upload{framing: fmt.Sprintf("Content-Length: %d", len(body)), pieces: split(body[:len(body)-1], 16<<10), missing: body[len(body)-1:]}
	}},
	{"large_chunks", func(s *system, l limits) upload {
		start, missing := chunked(s.body(l.maxBodyBytes), l.maxBodyBytes)
		return upload{framing: "Transfer-Encoding: chunked", pieces: [][]byte{start}, missing: missing}
	}},
	{"very_small_chunks", func(s *system, l limits) upload {
		start, missing := chunked(s.body(l.maxBodyBytes), 8)
		return upload{framing: "Transfer-Encoding: chunked", pieces: split(start, 64<<10), missing: missing}
	}},
	{"bodies_over_the_limit_announced", func(s *system, l limits) upload {
		return upload{framing: fmt.Sprintf("Content-Length: %d", 1000*l.maxBodyBytes), pieces: [][]byte{s.body(l.maxBodyBytes)}, endless: true}
	}},
	{"bodies_over_the_limit_just_sent", func(s *system, l limits) upload {
		start, missing := chunked(s.body(l.maxBodyBytes), 64<<10)
		return upload{framing: "Transfer-Encoding: chunked", pieces: [][]byte{append(start, missing[:len(missing)-len("0\r\n\r\n")]...)}, endless: true}
	}},
}

// crowd is a number of clients that don't behave.
type crowd struct {
	s        *system
	upload   upload
	stop     chan struct{}
	clients  sync.WaitGroup
	statuses [1000]atomic.Int64
	// connected counts the connections.
	connected atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// startCrowd starts a crowd of clients.
func startCrowd(s *system, u upload, size int) *crowd {
	c := &crowd{s: s, upload: u, stop: make(chan struct{}), conns: map[net.Conn]bool{}}
	for n := range size {
		c.clients.Go(func() { c.run(n) })
	}
	s.t.Cleanup(c.leave)
	return c
}

// leave closes all connections of the crowd.
func (c *crowd) leave() {
	c.mu.Lock()
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.clients.Wait()
}

func (c *crowd) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// run sends the body of one client, stays connected until the connection is closed,
// and then connects again.
func (c *crowd) run(n int) {
	for !c.stopped() {
		conn, err := net.DialTimeout("tcp", c.s.address, 5*time.Second)
		if err == nil {
			c.connected.Add(1)
			c.serveConn(conn, n%completing == 0 && !c.upload.neverComplete)
		}
		select {
		case <-c.stop:
		case <-time.After(reconnectPause):
		}
	}
}

func (c *crowd) serveConn(conn net.Conn, complete bool) {
	c.mu.Lock()
	if c.stopped() {
		c.mu.Unlock()
		_ = conn.Close()
		return
	}
	c.conns[conn] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
		_ = conn.Close()
	}()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			c.statuses[resp.StatusCode%1000].Add(1)
		}
	}()
	head := c.s.head(nextID(), c.upload.framing)
	if c.upload.openHead {
		head = bytes.TrimRight(head, "\r\n")
	}
	_, err := conn.Write(head)
	for n := 0; err == nil && n < len(c.upload.pieces); n++ {
		if n > 0 {
			time.Sleep(piecePause)
		}
		_, err = conn.Write(c.upload.pieces[n])
		if c.upload.endless && n == len(c.upload.pieces)-1 {
			n--
		}
	}
	if err == nil && complete {
		_, _ = conn.Write(c.upload.missing)
	}
	if err != nil {
		return
	}
	<-answered
	// The client stays although it has its answer.
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	_, _ = conn.Read(make([]byte, 1))
}

func (c *crowd) summary() string {
	text := fmt.Sprintf("%d connections", c.connected.Load())
	for status := range c.statuses {
		if n := c.statuses[status].Load(); n > 0 {
			text += ", " + strconv.Itoa(status) + ": " + strconv.FormatInt(n, 10)
		}
	}
	return text
}

// requireWithin checks that the system lives and has stayed within its limits.
func requireWithin(t *testing.T, s *system, l limits) {
	s.mu.Lock()
	memory, unread, descriptors := s.peakMemory, s.peakUnread, s.peakDescriptors
	s.mu.Unlock()
	t.Logf("peak memory %d MiB, of that unread at most %d MiB, descriptors %d", memory>>20, unread>>20, descriptors)
	require.True(t, s.alive(), "the process lives")
	for _, other := range s.others {
		require.True(t, other.alive(), "the other processes live")
	}
	require.LessOrEqual(t, memory, l.memoryMB<<20, "memory with the unread bytes of connections")
	require.Less(t, descriptors, l.descriptors, "descriptors")
}
