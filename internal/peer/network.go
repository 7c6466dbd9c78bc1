// Package peer connects the daemons with each other. Each pair shares a TCP
// connection, which carries protobuf messages on one yamux stream per channel.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/fault"
)

const (
	protocolVersion = 1
	dialTimeout     = 2 * time.Second
	helloTimeout    = 2 * time.Second
	writeTimeout    = 3 * time.Second
	// maxBackoff bounds the time until a peer is reached after a partition heals.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxFrameBytes bounds one message; the largest messages are snapshots.
	maxFrameBytes = 64 << 20
)

// KeepAliveInterval returns the keep-alive interval of each connection in a
// deployment with the given number of daemons. It grows with the number to
// bound the traffic: a keep-alive takes about 360 bytes with TCP headers, so
// 400 connections would use 48 KB/s at the minimum of 3 s.
func KeepAliveInterval(daemons int) time.Duration {
	const minInterval, perDaemon = 3 * time.Second, 40 * time.Millisecond
	return max(minInterval, time.Duration(daemons)*perDaemon)
}

// StepCall is the step in errors of calls between daemons.
const StepCall = "peer call"

// Handler handles the messages of a channel. Its results are returned to Call
// and discarded for messages from Send.
type Handler func(ctx context.Context, from string, payload []byte) ([]byte, error)

// StreamHandler serves a stream that another daemon opened. The stream ends when it
// returns, ctx with the connection.
type StreamHandler func(ctx context.Context, from string, stream net.Conn)

// Options configures a Network.
type Options struct {
	// ID of this daemon.
	ID string
	// Addresses maps the id of each daemon to its address.
	Addresses map[string]string
	// Resolve returns the address of a daemon, and false for an unknown one.
	// When set it replaces Addresses, for deployments whose daemons are not
	// listed in advance.
	Resolve func(id string) (address string, ok bool)
	// KeepAliveInterval and WriteTimeout bound the time until an unresponsive
	// connection is closed; zero means the defaults.
	KeepAliveInterval, WriteTimeout time.Duration
	// DialTimeout bounds a connection attempt; zero means the default.
	DialTimeout time.Duration
	// IdleTimeout closes a connection that has carried no message for this time,
	// which saves its keep-alives; zero keeps connections open. The next message
	// opens one again.
	IdleTimeout time.Duration
	// TLS, when set, is used for both directions; the certificate's common
	// name must be the daemon's id.
	TLS *tls.Config
	// Dial opens a connection; nil means TCP.
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	Logger   *zap.Logger
	Registry metrics.Registry
}

// Network sends messages between daemons.
type Network struct {
	opts     Options
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	handlersMu sync.RWMutex
	handlers   map[string]Handler
	// streamHandlers holds the handlers of channels whose streams carry something else
	// than Frames.
	streamHandlers map[string]StreamHandler

	mu    sync.Mutex
	links map[string]*link
	// sessions holds every open session with the time of its last message.
	sessions map[*yamux.Session]time.Time

	sentBytes     metrics.Counter
	receivedBytes metrics.Counter
	dropped       metrics.Counter
}

// Status describes the connection to a peer.
type Status struct {
	ID        string    `json:"id"`
	Connected bool      `json:"connected"`
	Since     time.Time `json:"since"`
	LastError string    `json:"lastError,omitempty"`
}

// Listen starts a network that accepts connections on an open listener.
func Listen(listener net.Listener, o Options) *Network {
	if o.Resolve == nil {
		addresses := o.Addresses
		o.Resolve = func(id string) (string, bool) {
			address, ok := addresses[id]
			return address, ok
		}
	}
	if o.KeepAliveInterval == 0 {
		o.KeepAliveInterval = KeepAliveInterval(len(o.Addresses))
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = writeTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = dialTimeout
	}
	if o.Dial == nil {
		dialer := &net.Dialer{Timeout: o.DialTimeout}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Network{
		opts: o, listener: listener, ctx: ctx, cancel: cancel,
		handlers: map[string]Handler{}, streamHandlers: map[string]StreamHandler{}, links: map[string]*link{}, sessions: map[*yamux.Session]time.Time{},
		sentBytes:     metrics.GetOrRegisterCounter("peer.sent_bytes", o.Registry),
		receivedBytes: metrics.GetOrRegisterCounter("peer.received_bytes", o.Registry),
		dropped:       metrics.GetOrRegisterCounter("peer.dropped_messages", o.Registry),
	}
	n.spawn(n.acceptLoop)
	if o.IdleTimeout > 0 {
		n.spawn(n.closeIdleSessions)
	}
	return n
}

// closeIdleSessions closes sessions without messages until the network closes.
func (n *Network) closeIdleSessions() {
	ticker := time.NewTicker(n.opts.IdleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-ticker.C:
			for _, s := range n.idleSessions(now) {
				_ = s.Close()
			}
		}
	}
}

// idleSessions lists the sessions of links without messages. Older sessions of a
// link in use stay open as a fallback.
func (n *Network) idleSessions(now time.Time) []*yamux.Session {
	var idle []*yamux.Session
	for _, l := range n.allLinks() {
		sessions := l.openSessions()
		if now.Sub(n.lastMessage(sessions)) >= n.opts.IdleTimeout {
			idle = append(idle, sessions...)
		}
	}
	return idle
}

// lastMessage returns the time of the last message on any of the sessions.
func (n *Network) lastMessage(sessions []*yamux.Session) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	var last time.Time
	for _, s := range sessions {
		if at := n.sessions[s]; at.After(last) {
			last = at
		}
	}
	return last
}

// recordMessage records that a session carries a message.
func (n *Network) recordMessage(s *yamux.Session) {
	if n.opts.IdleTimeout == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, open := n.sessions[s]; open {
		n.sessions[s] = time.Now()
	}
}

// Handle sets the handler of a channel.
func (n *Network) Handle(channel string, h Handler) {
	n.handlersMu.Lock()
	defer n.handlersMu.Unlock()
	n.handlers[channel] = h
}

func (n *Network) handler(channel string) Handler {
	n.handlersMu.RLock()
	defer n.handlersMu.RUnlock()
	return n.handlers[channel]
}

// HandleStreams sets the handler of a channel whose streams are opened by OpenStream.
func (n *Network) HandleStreams(channel string, h StreamHandler) {
	n.handlersMu.Lock()
	defer n.handlersMu.Unlock()
	n.streamHandlers[channel] = h
}

func (n *Network) streamHandler(channel string) StreamHandler {
	n.handlersMu.RLock()
	defer n.handlersMu.RUnlock()
	return n.streamHandlers[channel]
}

// OpenStream opens a stream to a daemon, which serves it with the handler of the
// channel. A daemon without one sends a Reply with an error after the first message.
func (n *Network) OpenStream(ctx context.Context, to, channel string) (net.Conn, error) {
	l := n.link(to)
	if l == nil {
		return nil, errors.New("unknown peer")
	}
	session, err := l.session(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	n.recordMessage(session)
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeMessage(stream, &StreamHeader{Channel: channel, Call: true}); err != nil {
		return nil, errors.Join(err, stream.Close())
	}
	_ = stream.SetWriteDeadline(time.Time{})
	return &countedStream{Stream: stream, in: stream, network: n}, nil
}

// countedStream is a stream whose bytes keep its connection from being idle.
type countedStream struct {
	*yamux.Stream
	in      io.Reader
	network *Network
}

// Read implements net.Conn.
func (s *countedStream) Read(p []byte) (int, error) {
	read, err := s.in.Read(p)
	s.network.recordMessage(s.Session())
	return read, err
}

// Write implements net.Conn.
func (s *countedStream) Write(p []byte) (int, error) {
	s.network.recordMessage(s.Session())
	return s.Stream.Write(p)
}

// Send queues a message. It never blocks; it reports false when the queue of
// the peer's channel is full or the peer is unknown.
func (n *Network) Send(to, channel string, payload []byte) bool {
	l := n.link(to)
	if l == nil || !l.enqueue(channel, payload) {
		n.dropped.Inc(1)
		return false
	}
	return true
}

// Call sends a message and waits for the reply. When the call fails without a
// reply, the outcome of the error is NotRun only if the message cannot have
// reached the peer. An error of the handler keeps its code, step and outcome.
func (n *Network) Call(ctx context.Context, to, channel string, payload []byte) ([]byte, error) {
	at := fault.Location{Step: StepCall, Peer: to}
	l := n.link(to)
	if l == nil {
		return nil, fault.New(fault.Unavailable, at, fault.NotRun, "unknown peer")
	}
	session, err := l.session(ctx)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, at, fault.NotRun)
	}
	reply, err := n.call(ctx, session, channel, payload)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, at, fault.Unknown)
	}
	if reply.Error != "" {
		at.Step = reply.Step
		return nil, fault.New(fault.Code(reply.Code), at, fault.Outcome(reply.Outcome), reply.Error)
	}
	return reply.Payload, nil
}

// Address returns the address of a daemon, and false for an unknown one.
func (n *Network) Address(id string) (address string, ok bool) { return n.opts.Resolve(id) }

// Peers returns the status of the connection to each known peer.
func (n *Network) Peers() []Status {
	var all []Status
	for _, l := range n.allLinks() {
		all = append(all, l.status())
	}
	return all
}

// allLinks returns the links, so that their locks are not taken under mu: a link
// that starts a goroutine takes mu under its own lock.
func (n *Network) allLinks() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.links))
}

// Close closes all connections and waits for the goroutines of the network.
func (n *Network) Close() error {
	n.mu.Lock()
	n.cancel()
	err := n.listener.Close()
	for s := range n.sessions {
		_ = s.Close()
	}
	n.mu.Unlock()
	n.done.Wait()
	return err
}

// spawn runs f in a goroutine that Close waits for, unless the network is
// closed.
func (n *Network) spawn(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() == nil {
		n.done.Go(f)
	}
}

// link returns the link to a peer, nil for an unknown peer or a closed network.
func (n *Network) link(to string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[to]; l != nil {
		return l
	}
	address, ok := n.opts.Resolve(to)
	if !ok || n.ctx.Err() != nil {
		return nil
	}
	l := &link{network: n, id: to, address: address, queues: map[string]chan []byte{}}
	n.links[to] = l
	return l
}

func (n *Network) acceptLoop() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			time.Sleep(minBackoff)
			continue
		}
		n.spawn(func() { n.handleConn(conn) })
	}
}

func (n *Network) handleConn(conn net.Conn) {
	if n.opts.TLS != nil {
		conn = tls.Server(conn, n.opts.TLS)
	}
	id, err := n.handshake(conn, "")
	if err != nil {
		_ = conn.Close()
		level := zap.WarnLevel
		if errors.Is(err, io.EOF) {
			// Entries probe whether this process accepts connections.
			level = zap.DebugLevel
		}
		n.opts.Logger.Log(level, "peer connection rejected", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
		return
	}
	session, err := yamux.Server(n.countBytes(conn), n.yamuxConfig())
	if err != nil || !n.track(session) {
		_ = conn.Close()
		return
	}
	if l := n.link(id); l != nil {
		l.addSession(session)
	}
	n.serve(session, id)
}

// handshake exchanges Hello messages and returns the id of the peer. With TLS,
// the certificate must carry the same id. An empty expectedID accepts every
// known peer.
func (n *Network) handshake(conn net.Conn, expectedID string) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	if err := writeMessage(conn, &Hello{Id: n.opts.ID, Version: protocolVersion}); err != nil {
		return "", err
	}
	var hello Hello
	if err := readMessage(conn, &hello); err != nil {
		return "", err
	}
	_, known := n.opts.Resolve(hello.Id)
	switch {
	case hello.Version != protocolVersion:
		return "", fmt.Errorf("peer %q uses protocol version %d, this daemon uses %d", hello.Id, hello.Version, protocolVersion)
	case !known || expectedID != "" && hello.Id != expectedID:
		return "", fmt.Errorf("unexpected peer %q", hello.Id)
	}
	return hello.Id, n.checkCertificate(conn, hello.Id)
}

func (n *Network) checkCertificate(conn net.Conn, id string) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certificates := tlsConn.ConnectionState().PeerCertificates
	if len(certificates) == 0 || certificates[0].Subject.CommonName != id {
		return fmt.Errorf("the certificate's common name is not the peer's id %q", id)
	}
	return nil
}

// dial opens a session to a peer.
func (n *Network) dial(ctx context.Context, id, address string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.DialTimeout)
	defer cancel()
	conn, err := n.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if n.opts.TLS != nil {
		cfg := n.opts.TLS.Clone()
		cfg.ServerName = id
		conn = tls.Client(conn, cfg)
	}
	if _, err := n.handshake(conn, id); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	session, err := yamux.Client(n.countBytes(conn), n.yamuxConfig())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	if !n.track(session) {
		return nil, net.ErrClosed
	}
	n.spawn(func() { n.serve(session, id) })
	return session, nil
}

// track registers an open session for Close. When the network is closed already,
// it closes the session and reports false.
func (n *Network) track(s *yamux.Session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		_ = s.Close()
		return false
	}
	n.sessions[s] = time.Now()
	return true
}

func (n *Network) untrack(s *yamux.Session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sessions, s)
}

func (n *Network) countBytes(conn net.Conn) net.Conn {
	return &countedConn{Conn: conn, sent: n.sentBytes, received: n.receivedBytes}
}

func (n *Network) yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = n.opts.KeepAliveInterval
	cfg.ConnectionWriteTimeout = n.opts.WriteTimeout
	cfg.StreamOpenTimeout = n.opts.WriteTimeout
	cfg.StreamCloseTimeout = time.Minute
	cfg.LogOutput = nil
	cfg.Logger = discardLogger{}
	return cfg
}

// discardLogger discards the log lines of yamux. Broken sessions show up as
// failed streams and calls, which this package reports.
type discardLogger struct{}

func (discardLogger) Print(...any)          {}
func (discardLogger) Printf(string, ...any) {}
func (discardLogger) Println(...any)        {}

// countedConn counts the bytes that are sent and received on a connection.
type countedConn struct {
	net.Conn
	sent, received metrics.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	read, err := c.Conn.Read(p)
	c.received.Inc(int64(read))
	return read, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	written, err := c.Conn.Write(p)
	c.sent.Inc(int64(written))
	return written, err
}
