package upstream

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
)

// Processing steps, reported in errors.
const (
	StepDispatch = "dispatch"
	StepOrder    = "order"
	StepProbe    = "probe"
)

const (
	dialTimeout        = time.Second
	idleConnTimeout    = 60 * time.Second
	maxIdlePerUpstream = 64
	maxReplyBytes      = 64 << 10
	// maxHeadBytes limits the status line and the headers of a response. A faulty
	// upstream may send bytes without end.
	maxHeadBytes = 64 << 10
)

// Target is the upstream that a request is sent to. Group is set if the upstream
// serves requests for a replica group.
type Target struct {
	ID      string
	Address string
	Group   membership.GroupRef
}

// Resume asks an engine to continue a stream.
type Resume struct {
	Token string
	// Position is the last position that was delivered to the caller.
	Position int64
}

// Dispatch is one attempt of a request at one upstream.
type Dispatch struct {
	Target Target
	Method string
	URI    string
	Header http.Header
	// Body is nil for a request without one.
	Body      Body
	RequestID string
	Attempt   int
	Priority  string
	Resume    *Resume
	// Once sends the request on a new connection. An upstream may close a kept
	// connection while the request is on its way, and it is then unknown whether
	// the request ran.
	Once bool
}

// Body is the body of a request. Each attempt reads it anew.
type Body interface {
	Reader() io.Reader
	Size() int64
}

// Bytes is a Body in one piece.
type Bytes []byte

// Reader implements Body.
func (b Bytes) Reader() io.Reader { return bytes.NewReader(b) }

// Size implements Body.
func (b Bytes) Size() int64 { return int64(len(b)) }

// Client sends requests, orders and probes to upstreams.
type Client struct {
	// direct opens a connection as the options say; via, if set, replaces it.
	direct DialFunc
	via    atomic.Pointer[Via]
	conns  connTable
	pooled *http.Transport
	// singleUse opens a new connection for each request.
	singleUse *http.Transport
}

// Via opens connections in a way that may differ from the direct one.
type Via struct {
	Dial DialFunc
	// Silent, if set, is called when an upstream has sent no byte for silenceTime while
	// a request waits for its answer. It must return at once.
	Silent func(address string)
}

// silenceTime is longer than most upstreams need to begin an answer, also under load.
const silenceTime = 800 * time.Millisecond

// DialFunc opens a TCP connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// ClientOptions configures the connections of a Client. Zero fields select
// defaults.
type ClientOptions struct {
	// Dial opens a connection; nil means plain TCP.
	Dial DialFunc
	// DialTimeout limits the time in which the default Dial opens a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// MaxIdle limits the idle connections to all upstreams; 0 means no limit.
	MaxIdle int
}

// NewClient returns a client with its own connection pool. A nil dial means
// plain TCP.
func NewClient(dial DialFunc) *Client { return NewClientWith(ClientOptions{Dial: dial}) }

// NewClientWith returns a client with its own connection pool.
func NewClientWith(o ClientOptions) *Client {
	dial := o.Dial
	if dial == nil {
		dialer := &net.Dialer{Timeout: cmp.Or(o.DialTimeout, dialTimeout)}
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	c := &Client{direct: dial, conns: connTable{peers: map[string]*peerConns{}}}
	pooled := &http.Transport{
		DialContext:         dialTracked(c.dial, &c.conns),
		MaxIdleConns:        o.MaxIdle,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     cmp.Or(o.IdleTimeout, idleConnTimeout),
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	singleUse := pooled.Clone()
	singleUse.DisableKeepAlives = true
	c.pooled, c.singleUse = pooled, singleUse
	return c
}

// Direct opens a connection without the Via that is set.
func (c *Client) Direct(ctx context.Context, address string) (net.Conn, error) {
	return c.direct(ctx, address)
}

// SetVia sets the way in which connections are opened from now on.
func (c *Client) SetVia(v Via) { c.via.Store(&v) }

// Retire closes the open connections to an address once no request uses them.
func (c *Client) Retire(address string) { c.conns.retire(address) }

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	if v := c.via.Load(); v != nil {
		return v.Dial(ctx, address)
	}
	return c.direct(ctx, address)
}

// Listening reports whether a process accepts connections at an address. Only a
// refused connection shows that there is none; without an answer, the result is
// the error.
func (c *Client) Listening(ctx context.Context, address string) (bool, error) {
	conn, err := c.dial(ctx, address)
	switch {
	case err == nil:
		return true, conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		return false, nil
	}
	return true, fault.Wrap(err, fault.UpstreamUnreachable, fault.Location{Step: StepProbe, Peer: address}, fault.NotRun)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// Do sends one attempt and returns the response with its body unread. An error
// has the outcome NotRun only if no byte of the request can have been sent.
func (c *Client) Do(ctx context.Context, d Dispatch) (*http.Response, error) {
	at := fault.Location{Step: StepDispatch, Peer: d.Target.ID}
	req, err := d.newRequest(ctx)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, at, fault.NotRun)
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return c.Exchange(req, at, d.Once)
}

// Exchange sends a prepared request at most once. With once set, it uses a new
// connection. An error has the outcome NotRun only if no byte of the request can
// have been sent.
func (c *Client) Exchange(req *http.Request, at fault.Location, once bool) (*http.Response, error) {
	// The context must outlive this call, because the body of the response is read
	// under it. It ends with the caller's.
	ctx, cancel := context.WithCancelCause(req.Context())
	tracker := &writeTracker{cancel: cancel}
	written := newRequestWrite(ctx)
	req = req.WithContext(written.trace(tracker.withTrace(ctx)))
	silence := c.watchSilence(tracker)
	resp, err := c.transport(once).RoundTrip(req)
	silence.Stop()
	if err == nil {
		if err = checkHead(resp.StatusCode, resp.Header); err == nil {
			checkBody(resp, written)
			resp.Body = &releasingBody{ReadCloser: resp.Body, release: tracker.release}
			return resp, nil
		}
		err = errors.Join(err, resp.Body.Close())
		tracker.release()
		cancel(nil)
		return nil, fault.Wrap(err, fault.UpstreamFailed, at, fault.Unknown)
	}
	defer cancel(nil)
	defer tracker.release()
	if tracker.notSent() {
		return nil, fault.Wrap(err, fault.UpstreamUnreachable, at, fault.NotRun)
	}
	return nil, fault.Wrap(err, failureCode(err), at, fault.Unknown)
}

// watchSilence reports the upstream of a request that is silent until the timer is
// stopped.
func (c *Client) watchSilence(tracker *writeTracker) *time.Timer {
	return time.AfterFunc(silenceTime, func() {
		v, conn := c.via.Load(), tracker.current()
		if v == nil || v.Silent == nil || conn == nil {
			return
		}
		if time.Since(time.Unix(0, conn.peer.lastRead.Load())) >= silenceTime {
			v.Silent(conn.peer.address)
		}
	})
}

// releasingBody ends the use of a connection when it is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.release()
	return err
}

// KeepRequestURI makes a request carry the path and query of a caller as they were
// sent. Parsing and formatting a URL escapes characters that a URL must not contain,
// such as "|", and cuts off a part after "#".
func KeepRequestURI(u *url.URL, requestURI string) {
	if u.RequestURI() == requestURI || !strings.HasPrefix(requestURI, "/") || strings.HasPrefix(requestURI, "//") {
		// An opaque part with two slashes would count as an authority.
		return
	}
	path, query, hasQuery := strings.Cut(requestURI, "?")
	u.Opaque, u.RawQuery, u.ForceQuery = path, query, hasQuery && query == ""
}

// failureCode returns the fault code of a request that failed in transit.
func failureCode(err error) fault.Code {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.DeadlineExceeded
	}
	return fault.UpstreamFailed
}

func (c *Client) transport(once bool) *http.Transport {
	if once {
		return c.singleUse
	}
	return c.pooled
}

// newRequest builds the HTTP request. GetBody is nil, so that the transport cannot
// resend the body.
func (d *Dispatch) newRequest(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, d.Method, "http://"+d.Target.Address+d.URI, http.NoBody)
	if err != nil {
		return nil, err
	}
	KeepRequestURI(req.URL, d.URI)
	req.GetBody = nil
	if d.Body != nil && d.Body.Size() > 0 {
		req.Body, req.ContentLength = io.NopCloser(d.Body.Reader()), d.Body.Size()
	}
	if d.Header != nil {
		req.Header = d.Header.Clone()
	}
	h := req.Header
	h.Set(HeaderRequestID, d.RequestID)
	h.Set(HeaderAttempt, strconv.Itoa(d.Attempt))
	if d.Priority != "" {
		h.Set(HeaderPriority, d.Priority)
	}
	if d.Target.Group.Group != "" {
		h.Set(HeaderGroup, d.Target.Group.Group)
		h.Set(HeaderEpoch, strconv.FormatUint(d.Target.Group.Epoch, 10))
	}
	if d.Resume != nil {
		h.Set(HeaderResumeToken, d.Resume.Token)
		h.Set(HeaderResumePosition, strconv.FormatInt(d.Resume.Position, 10))
	}
	return req, nil
}

// Order sends an order to a model engine. The error is fault.Conflict if the
// engine rejects the epoch.
func (c *Client) Order(ctx context.Context, target Target, bearer string, order Order) (OrderResult, error) {
	var result OrderResult
	at := fault.Location{Step: StepOrder, Peer: target.ID}
	body, err := json.Marshal(order)
	if err != nil {
		return result, fault.Wrap(err, fault.Internal, at, fault.NotRun)
	}
	// An order must not reach the engine after its deadline, so the transport
	// must not resend it.
	d := Dispatch{Target: target, Method: http.MethodPost, URI: PathOrders, Body: Bytes(body), RequestID: order.ID, Attempt: 1, Once: true}
	if bearer != "" {
		d.Header = http.Header{"Authorization": {"Bearer " + bearer}}
	}
	return result, c.callJSON(ctx, d, at, &result)
}

// State reads the announcement and heartbeat of an upstream directly from it.
func (c *Client) State(ctx context.Context, target Target) (StateReply, error) {
	var reply StateReply
	at := fault.Location{Step: StepProbe, Peer: target.ID}
	d := Dispatch{Target: target, Method: http.MethodGet, URI: PathState, Attempt: 1}
	return reply, c.callJSON(ctx, d, at, &reply)
}

// callJSON sends d and decodes the JSON reply.
func (c *Client) callJSON(ctx context.Context, d Dispatch, at fault.Location, reply any) error {
	resp, err := c.Do(ctx, d)
	if err != nil {
		return fault.Wrap(err, fault.CodeOf(err), at, fault.OutcomeOf(err))
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxReplyBytes)
	switch {
	case resp.StatusCode == http.StatusConflict:
		return fault.New(fault.Conflict, at, fault.NotRun, "the upstream rejected the epoch")
	case resp.StatusCode != http.StatusOK:
		return fault.New(fault.UpstreamFailed, at, fault.Unknown, fmt.Sprintf("the upstream returned status %s", resp.Status))
	}
	if err := json.NewDecoder(body).Decode(reply); err != nil {
		return fault.Wrap(err, failureCode(err), at, fault.Unknown)
	}
	return nil
}
