package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/internal/fault"
)

const (
	// maxChunkBytes is the number of bytes in one message.
	maxChunkBytes = 16 << 10
	// maxMessageBytes limits a message that is read.
	maxMessageBytes = 1 << 20
)

// writeMessage writes a message with its length in one piece.
func writeMessage(w io.Writer, m proto.Message) error {
	size := proto.Size(m)
	b := protowire.AppendVarint(make([]byte, 0, size+protowire.SizeVarint(uint64(size))), uint64(size))
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

func readMessage(r *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, m)
}

// throughConn is a connection to an upstream through another instance.
type throughConn struct {
	net.Conn
	id string
	in *bufio.Reader
	// rest is what was received and not read yet; end is how the bytes ended.
	rest []byte
	end  error

	mu   sync.Mutex
	sent int64
	// ended is set when the upstream has ended the connection.
	ended bool
	// leaving is set when the other instance stops; onLeaving is called then.
	leaving   bool
	onLeaving func()
}

// openThrough asks another instance, on a new stream to it, for a connection.
func openThrough(stream net.Conn, id, address string) (*throughConn, error) {
	at := fault.Location{Step: StepRelay, Peer: id}
	if err := writeMessage(stream, &ToUpstream{Address: address}); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, at, fault.NotRun)
	}
	c := &throughConn{Conn: stream, id: id, in: bufio.NewReader(stream)}
	var first FromUpstream
	if err := readMessage(c.in, &first); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, at, fault.NotRun)
	}
	if first.Error != "" {
		code := fault.Code(first.Code)
		if code == fault.NotFound {
			// An instance of an earlier version.
			code = fault.Unavailable
		}
		return nil, fault.New(code, at, fault.NotRun, first.Error)
	}
	return c, nil
}

// Through returns the id of the other instance.
func (c *throughConn) Through() string { return c.id }

// Read implements net.Conn.
func (c *throughConn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.end != nil {
			return 0, c.end
		}
		c.receive()
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// receive reads the next message.
func (c *throughConn) receive() {
	var m FromUpstream
	if err := readMessage(c.in, &m); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		c.end = err
		return
	}
	c.rest = m.Data
	switch {
	case m.Leaving:
		c.leave()
	case m.Error != "":
		c.end = errors.New(m.Error)
	case m.End != nil:
		c.end = c.checkEnd(m.End)
	}
}

// checkEnd returns io.EOF if the upstream got everything before it ended the connection.
func (c *throughConn) checkEnd(end *End) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if end.Written < c.sent {
		return fmt.Errorf("the connection ended after %d of %d bytes were written", end.Written, c.sent)
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *throughConn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n := min(len(p), maxChunkBytes)
		if !c.addSent(n) {
			return written, syscall.EPIPE
		}
		if err := writeMessage(c.Conn, &ToUpstream{Data: p[:n]}); err != nil {
			return written, err
		}
		written += n
		p = p[n:]
	}
	return written, nil
}

// addSent counts bytes that are about to be sent. It reports false after the end of the
// connection, when the other instance would drop them.
func (c *throughConn) addSent(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.sent += int64(n)
	}
	return !c.ended
}

// OnLeaving sets the function that is called, once, when the connection should not be
// used for further requests.
func (c *throughConn) OnLeaving(f func()) {
	c.mu.Lock()
	c.onLeaving = f
	leaving := c.leaving
	c.mu.Unlock()
	if leaving {
		f()
	}
}

func (c *throughConn) leave() {
	c.mu.Lock()
	c.leaving = true
	f := c.onLeaving
	c.mu.Unlock()
	if f != nil {
		f()
	}
}

// helpedConn is a connection that is open for another instance.
type helpedConn struct {
	stream   net.Conn
	in       *bufio.Reader
	upstream net.Conn

	// writing is held while bytes are written to the upstream. It guards the number of
	// bytes that were written and the first error.
	writing  sync.Mutex
	written  int64
	writeErr error

	mu sync.Mutex
	// connected is set after the first message, and ended after the last one.
	connected, ended bool
}

// send sends a message to the other instance. None follows the last one.
func (c *helpedConn) send(m *FromUpstream, last bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return net.ErrClosed
	}
	c.connected, c.ended = true, last
	return writeMessage(c.stream, m)
}

// fail ends the connection with an error.
func (c *helpedConn) fail(err error) error {
	return c.send(&FromUpstream{Error: fault.Public(err.Error()), Code: string(fault.CodeOf(err)), Step: StepRelay, Outcome: string(fault.OutcomeOf(err))}, true)
}

// leave asks the other instance to use other connections. One that is still being
// opened is refused instead.
func (c *helpedConn) leave() error {
	c.mu.Lock()
	connected := c.connected
	c.mu.Unlock()
	if !connected {
		return nil
	}
	return c.send(&FromUpstream{Leaving: true}, false)
}

// carry carries bytes between the other instance and the upstream until one of them
// ends the connection.
func (c *helpedConn) carry() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.carryToUpstream()
	}()
	c.carryFromUpstream()
	_ = c.stream.Close()
	_ = c.upstream.Close()
	<-done
}

// carryToUpstream ends, and closes the connection to the upstream, when the other
// instance has closed its stream.
func (c *helpedConn) carryToUpstream() {
	defer c.upstream.Close()
	for {
		var m ToUpstream
		if readMessage(c.in, &m) != nil {
			return
		}
		c.writing.Lock()
		n, err := c.upstream.Write(m.Data)
		c.written += int64(n)
		if err != nil && c.writeErr == nil {
			c.writeErr = err
		}
		c.writing.Unlock()
		if err != nil {
			return
		}
	}
}

func (c *helpedConn) carryFromUpstream() {
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := c.upstream.Read(buffer)
		if n > 0 && c.send(&FromUpstream{Data: buffer[:n]}, false) != nil {
			return
		}
		if err != nil {
			_ = c.sendEnd(err)
			return
		}
	}
}

// sendEnd sends how the upstream ended the connection. After a reset only the first
// system call gets the error: if that was a write, the read saw an orderly end.
func (c *helpedConn) sendEnd(err error) error {
	c.writing.Lock()
	written, writeErr := c.written, c.writeErr
	c.writing.Unlock()
	if errors.Is(err, io.EOF) {
		err = writeErr
	}
	if err != nil {
		return c.fail(fault.Wrap(err, fault.UpstreamFailed, fault.Location{Step: StepRelay}, fault.Unknown))
	}
	return c.send(&FromUpstream{End: &End{Written: written}}, true)
}
