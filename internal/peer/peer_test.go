package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/tlsfiles"
)

// testNet is a set of networks on loopback that can be partitioned.
type testNet struct {
	t           *testing.T
	addresses   map[string]string
	networks    map[string]*Network
	mu          sync.Mutex
	partitioned bool
	conns       []net.Conn
}

func newTestNet(t *testing.T, ids ...string) *testNet {
	n := &testNet{t: t, addresses: map[string]string{}, networks: map[string]*Network{}}
	listeners := map[string]net.Listener{}
	for _, id := range ids {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners[id], n.addresses[id] = l, l.Addr().String()
	}
	for _, id := range ids {
		n.networks[id] = Listen(listeners[id], Options{
			ID: id, Addresses: n.addresses, Dial: n.dial, Logger: zap.NewNop(), Registry: metrics.NewRegistry(),
		})
	}
	t.Cleanup(func() {
		for _, network := range n.networks {
			_ = network.Close()
		}
	})
	return n
}

func (n *testNet) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned {
		return nil, errors.New("partitioned")
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		n.conns = append(n.conns, conn)
	}
	return conn, err
}

func (n *testNet) setPartitioned(partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.conns = nil
}

func echo(_ context.Context, from string, payload []byte) ([]byte, error) {
	return []byte(from + ":" + string(payload)), nil
}

// Guards against messages on a healthy connection that are lost, reordered or
// attributed to the wrong sender.
func TestSendKeepsOrderAndSender(t *testing.T) {
	n := newTestNet(t, "a", "b")
	got := make(chan string, 100)
	n.networks["b"].Handle("c", func(_ context.Context, from string, p []byte) ([]byte, error) {
		got <- from + string(p)
		return nil, nil
	})
	for i := range 100 {
		require.True(t, n.networks["a"].Send("b", "c", fmt.Append(nil, i)))
	}
	for i := range 100 {
		require.Equal(t, fmt.Sprintf("a%d", i), <-got)
	}
}

// Guards against a failed call that is reported with the wrong code or outcome.
func TestCallFaults(t *testing.T) {
	cases := []struct {
		name        string
		to          string
		handler     Handler
		partitioned bool
		code        fault.Code
		outcome     fault.Outcome
	}{
		{name: "unknown peer", to: "z", handler: echo, code: fault.Unavailable, outcome: fault.NotRun},
		{name: "partitioned", to: "b", handler: echo, partitioned: true, code: fault.Unavailable, outcome: fault.NotRun},
		{name: "no handler", to: "b", code: fault.NotFound, outcome: fault.NotRun},
		{name: "handler error keeps its code and outcome", to: "b", handler: func(context.Context, string, []byte) ([]byte, error) {
			return nil, fault.New(fault.Conflict, fault.Location{Step: "apply"}, fault.Ran, "conflict")
		}, code: fault.Conflict, outcome: fault.Ran},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNet(t, "a", "b")
			n.setPartitioned(c.partitioned)
			if c.handler != nil {
				n.networks["b"].Handle("c", c.handler)
			}
			_, err := n.networks["a"].Call(t.Context(), c.to, "c", []byte("x"))
			require.Equal(t, c.code, fault.CodeOf(err))
			require.Equal(t, c.outcome, fault.OutcomeOf(err))
		})
	}
}

// Guards against the outcome NotRun for a call whose connection broke after the
// message was sent.
func TestCallBrokenInFlightIsUnknown(t *testing.T) {
	n := newTestNet(t, "a", "b")
	arrived, release := make(chan struct{}), make(chan struct{})
	n.networks["b"].Handle("c", func(context.Context, string, []byte) ([]byte, error) {
		close(arrived)
		<-release
		return nil, nil
	})
	result := make(chan error)
	go func() {
		_, err := n.networks["a"].Call(t.Context(), "b", "c", nil)
		result <- err
	}()
	<-arrived
	n.setPartitioned(true)
	require.Equal(t, fault.Unknown, fault.OutcomeOf(<-result))
	close(release)
}

// Guards against a peer that stays unreachable after a partition heals.
func TestReconnectsAfterPartition(t *testing.T) {
	n := newTestNet(t, "a", "b")
	n.networks["b"].Handle("c", echo)
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := n.networks["a"].Call(ctx, "b", "c", nil)
		return err
	}
	require.NoError(t, call())
	n.setPartitioned(true)
	require.Error(t, call())
	n.setPartitioned(false)
	require.Eventually(t, func() bool { return call() == nil }, 10*time.Second, 10*time.Millisecond)
}

// Guards against a peer that becomes unreachable although a session with it is
// open: both sides connect at the same time, the newer session breaks, and no
// further one can be opened.
func TestOlderSessionIsUsedWhenTheNewerBreaks(t *testing.T) {
	n := newTestNet(t, "a", "b")
	a, b := n.networks["a"], n.networks["b"]
	a.Handle("c", echo)
	b.Handle("c", echo)
	_, err := a.Call(t.Context(), "b", "c", nil)
	require.NoError(t, err)
	second, err := b.dial(t.Context(), "a", n.addresses["a"])
	require.NoError(t, err)
	b.link("a").addSession(second)
	n.mu.Lock()
	n.partitioned = true // for new connections
	n.mu.Unlock()
	require.NoError(t, second.Close())
	_, err = b.Call(t.Context(), "a", "c", nil)
	require.NoError(t, err)
}

// Guards against a peer that does not read its messages and thereby delays
// messages to other peers.
func TestBlockedPeerDoesNotDelayOthers(t *testing.T) {
	n := newTestNet(t, "a", "b", "c")
	release := make(chan struct{})
	defer close(release)
	n.networks["b"].Handle("x", func(context.Context, string, []byte) ([]byte, error) { <-release; return nil, nil })
	got := make(chan struct{})
	n.networks["c"].Handle("x", func(context.Context, string, []byte) ([]byte, error) { close(got); return nil, nil })
	big := make([]byte, 256<<10)
	accepted := 0
	for n.networks["a"].Send("b", "x", big) {
		accepted++
		require.LessOrEqual(t, accepted, 100*maxQueuedMessages)
	}
	require.True(t, n.networks["a"].Send("c", "x", nil))
	<-got
}

// Guards against accepting a connection from a peer id that is not in the
// settings.
func TestRefusesUnexpectedPeer(t *testing.T) {
	n := newTestNet(t, "a", "b")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	other := Listen(listener, Options{ID: "z", Addresses: n.addresses, Logger: zap.NewNop(), Registry: metrics.NewRegistry()})
	defer other.Close()
	n.networks["b"].Handle("c", echo)
	_, err = other.Call(t.Context(), "b", "c", nil)
	require.Error(t, err)
}

// Guards against accepting a peer whose certificate was issued to another daemon
// or by another authority.
func TestCertificateMustBelongToThePeer(t *testing.T) {
	ours, err := fake.NewAuthority()
	require.NoError(t, err)
	theirs, err := fake.NewAuthority()
	require.NoError(t, err)
	tlsConfig := func(ca *fake.Authority, name string) *tls.Config {
		files, err := ca.Write(t.TempDir(), name)
		require.NoError(t, err)
		source, err := tlsfiles.Open(tlsfiles.Files(files))
		require.NoError(t, err)
		return source.Config()
	}
	cases := []struct {
		name string
		peer *tls.Config
		ok   bool
	}{
		{"own certificate", tlsConfig(ours, "b"), true},
		{"another daemon's certificate", tlsConfig(ours, "c"), false},
		{"another authority", tlsConfig(theirs, "b"), false},
		{"no TLS", nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			la, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			lb, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			addresses := map[string]string{"a": la.Addr().String(), "b": lb.Addr().String()}
			a := Listen(la, Options{ID: "a", Addresses: addresses, TLS: tlsConfig(ours, "a"), Logger: zap.NewNop(), Registry: metrics.NewRegistry()})
			b := Listen(lb, Options{ID: "b", Addresses: addresses, TLS: c.peer, Logger: zap.NewNop(), Registry: metrics.NewRegistry()})
			defer a.Close()
			defer b.Close()
			a.Handle("c", echo)
			b.Handle("c", echo)
			_, err = a.Call(t.Context(), "b", "c", nil)
			require.Equal(t, c.ok, err == nil, err)
			_, err = b.Call(t.Context(), "a", "c", nil)
			require.Equal(t, c.ok, err == nil, err)
		})
	}
}

func BenchmarkCall(b *testing.B) {
	l1, _ := net.Listen("tcp", "127.0.0.1:0")
	l2, _ := net.Listen("tcp", "127.0.0.1:0")
	addresses := map[string]string{"a": l1.Addr().String(), "b": l2.Addr().String()}
	n1 := Listen(l1, Options{ID: "a", Addresses: addresses, Logger: zap.NewNop(), Registry: metrics.NewRegistry()})
	n2 := Listen(l2, Options{ID: "b", Addresses: addresses, Logger: zap.NewNop(), Registry: metrics.NewRegistry()})
	defer n1.Close()
	defer n2.Close()
	n2.Handle("c", echo)
	payload := make([]byte, 200)
	for b.Loop() {
		if _, err := n1.Call(b.Context(), "b", "c", payload); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a deadlock between the status of all peers and the first message
// of a channel, which takes the locks of the link and of the network.
func TestStatusDuringFirstMessages(t *testing.T) {
	n := newTestNet(t, "a", "b")
	const channels = 200
	done := make(chan struct{})
	go func() {
		for i := range channels {
			n.networks["a"].Send("b", fmt.Sprint("channel-", i), nil)
		}
		close(done)
	}()
	go func() {
		for {
			select {
			case <-done:
				return
			default:
				n.networks["a"].Peers()
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		// Closing the network would wait for the same locks.
		n.networks = nil
		t.Fatal("deadlock")
	}
}

// Guards against keep-alives on connections that are hardly ever used, against
// losing the next message to a connection that was closed for that, and against
// closing one in use.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const idleTimeout = 200 * time.Millisecond
	n := newTestNet(t)
	for _, id := range []string{"a", "b", "c"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		n.addresses[id] = l.Addr().String()
		n.networks[id] = Listen(l, Options{ID: id, Addresses: n.addresses, Dial: n.dial, Logger: zap.NewNop(), Registry: metrics.NewRegistry(), IdleTimeout: idleTimeout})
	}
	received := make(chan struct{}, 100)
	for _, id := range []string{"b", "c"} {
		n.networks[id].Handle("c", func(context.Context, string, []byte) ([]byte, error) {
			received <- struct{}{}
			return nil, nil
		})
	}
	connected := func(id string) bool {
		for _, s := range n.networks["a"].Peers() {
			if s.ID == id {
				return s.Connected
			}
		}
		return false
	}
	for range 3 {
		require.True(t, n.networks["a"].Send("b", "c", nil))
		<-received
		// The connection to c stays in use for longer than the one to b.
		for started := time.Now(); connected("b") || time.Since(started) < 3*idleTimeout; time.Sleep(idleTimeout / 10) {
			require.True(t, n.networks["a"].Send("c", "c", nil))
			<-received
			require.Less(t, time.Since(started), 10*time.Second, "the connection to b stays open")
		}
		require.True(t, connected("c"))
	}
}

// Guards against bytes of a stream that are lost behind its header, and against waiting
// for a daemon that does not know the channel.
func TestOpenStream(t *testing.T) {
	n := newTestNet(t, "a", "b")
	n.networks["b"].HandleStreams("shout", func(_ context.Context, from string, stream net.Conn) {
		var frame Frame
		if readMessage(stream, &frame) == nil {
			_ = writeMessage(stream, &Frame{Payload: []byte(from + " " + string(frame.Payload) + "!")})
		}
	})
	stream, err := n.networks["a"].OpenStream(t.Context(), "b", "shout")
	require.NoError(t, err)
	require.NoError(t, writeMessage(stream, &Frame{Payload: []byte("hello")}))
	var frame Frame
	require.NoError(t, readMessage(stream, &frame))
	require.Equal(t, "a hello!", string(frame.Payload))
	require.Error(t, readMessage(stream, &frame), "the handler has returned")
	require.NoError(t, stream.Close())

	stream, err = n.networks["a"].OpenStream(t.Context(), "b", "unknown")
	require.NoError(t, err)
	require.NoError(t, writeMessage(stream, &Frame{Payload: []byte("hello")}))
	var reply Reply
	require.NoError(t, readMessage(stream, &reply))
	require.Equal(t, string(fault.NotFound), reply.Code)
	require.NoError(t, stream.Close())

	_, err = n.networks["a"].OpenStream(t.Context(), "c", "shout")
	require.Error(t, err)
}
