package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
)

// The HTTP library is lenient with the answers that it reads. The functions of this
// file decide whether an answer is a message by RFC 9110 and RFC 9112, and whether it is
// complete. All answers of others are read through Exchange or an AnswerChecker.

// errRequestNotWritten is returned for an answer that ends with its connection before
// the request was written. After a reset only the first system call on the connection
// gets the error. If that is a write, a read sees an orderly end.
var errRequestNotWritten = errors.New("the connection ended before the request was written")

// checkHead returns an error if the head of an answer is no valid message.
func checkHead(status int, header http.Header) error {
	if !isFinal(status) {
		return fmt.Errorf("the upstream answered with the status %d", status)
	}
	return checkFields(header)
}

// checkFields returns an error for a field whose name is no token, or whose value
// contains bytes that a recipient must not pass on. The library accepts names with
// blanks, and does not recognize the framing of a message by them.
func checkFields(header http.Header) error {
	for name, values := range header {
		if !isToken(name) {
			return fmt.Errorf("the upstream answered with the field name %q", name)
		}
		for _, value := range values {
			if strings.ContainsAny(value, "\x00\r\n") {
				return fmt.Errorf("the upstream answered with a line break or NUL in the field %s", name)
			}
		}
	}
	return nil
}

// isToken reports whether a name is a token of RFC 9110.
func isToken(name string) bool {
	const symbols = "!#$%&'*+-.^_`|~"
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && strings.IndexByte(symbols, c) < 0 {
			return false
		}
	}
	return name != ""
}

// isFinal reports whether a status may end a request. After an unsolicited 101, the
// transport would hand over the connection, on which no deadline holds; a status out
// of range could not be sent to the caller.
func isFinal(status int) bool { return status >= http.StatusOK && status <= 599 }

// requestWrite is the writing of one request, which may go on after the head of the
// answer has arrived.
type requestWrite struct {
	ctx  context.Context
	once sync.Once
	// done is closed when the request was handed to its connection, or has failed
	// with err.
	done chan struct{}
	err  error

	mu   sync.Mutex
	conn *trackedConn
}

// maxEarlyHeads is the number of heads before the final one that are read. The library
// has such a limit only without a hook.
const maxEarlyHeads = 5

func newRequestWrite(ctx context.Context) *requestWrite {
	return &requestWrite{ctx: ctx, done: make(chan struct{})}
}

// trace returns ctx with hooks that observe the request and check the heads before the
// final one.
func (w *requestWrite) trace(ctx context.Context) context.Context {
	earlyHeads := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.conn, _ = info.Conn.(*trackedConn)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			w.once.Do(func() {
				w.err = info.Err
				close(w.done)
			})
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if earlyHeads++; earlyHeads > maxEarlyHeads {
				return errors.New("the upstream sent too many heads before the final one")
			}
			return checkFields(http.Header(header))
		},
	})
}

// await waits until the request was written, and returns an error if it was not.
func (w *requestWrite) await() error {
	select {
	case <-w.done:
	case <-w.ctx.Done():
		return context.Cause(w.ctx)
	}
	if w.err != nil {
		return fmt.Errorf("%w: %w", errRequestNotWritten, w.err)
	}
	w.mu.Lock()
	conn := w.conn
	w.mu.Unlock()
	if conn == nil {
		// Connections with TLS show by themselves whether they ended in order.
		return nil
	}
	if err := conn.awaitWrite(); err != nil {
		return fmt.Errorf("%w: %w", errRequestNotWritten, err)
	}
	return nil
}

// checkBody makes the body of an answer end with an error unless it is complete.
func checkBody(resp *http.Response, written *requestWrite) {
	resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp, written: written}
}

// checkedBody is the body of an answer.
type checkedBody struct {
	io.ReadCloser
	resp    *http.Response
	written *requestWrite
	// end is the result of the check at the end.
	end error
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.end = b.check()
		err = b.end
	}
	return n, err
}

// check returns io.EOF if the answer is complete.
func (b *checkedBody) check() error {
	if err := checkFields(b.resp.Trailer); err != nil {
		return err
	}
	if Framed(b.resp) {
		return io.EOF
	}
	if err := b.written.await(); err != nil {
		return err
	}
	return io.EOF
}

// Framed reports whether an answer states its end, by a length or by chunks.
func Framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// AnswerChecker is a transport for requests that are not sent by a Client. It returns
// an error for an answer that is no valid message, and in place of the end of one that
// is not complete.
type AnswerChecker struct{ transport *http.Transport }

// NewAnswerChecker returns a checker of the answers of a transport, whose DialContext
// must be set.
func NewAnswerChecker(transport *http.Transport) *AnswerChecker {
	dial := transport.DialContext
	conns := &connTable{peers: map[string]*peerConns{}}
	transport.DialContext = dialTracked(func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }, conns)
	return &AnswerChecker{transport: transport}
}

// RoundTrip implements http.RoundTripper.
func (c *AnswerChecker) RoundTrip(req *http.Request) (*http.Response, error) {
	written := newRequestWrite(req.Context())
	resp, err := c.transport.RoundTrip(req.WithContext(written.trace(req.Context())))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp.StatusCode, resp.Header); err != nil {
		return nil, errors.Join(err, resp.Body.Close())
	}
	checkBody(resp, written)
	return resp, nil
}

// CloseIdleConnections closes the connections without a request.
func (c *AnswerChecker) CloseIdleConnections() { c.transport.CloseIdleConnections() }
