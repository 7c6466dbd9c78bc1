package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/nettest"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/reach"
)

// instance is an instance with a relay. Its direct way can be cut.
type instance struct {
	relay   *Relay
	network *peer.Network
	// hang and refuse cut the direct way.
	hang, refuse atomic.Bool
	dialed       atomic.Int32
	changes      atomic.Int32
}

func (i *instance) direct(ctx context.Context, address string) (net.Conn, error) {
	i.dialed.Add(1)
	switch {
	case i.hang.Load():
		<-ctx.Done()
		return nil, ctx.Err()
	case i.refuse.Load():
		return nil, syscall.ECONNREFUSED
	}
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

func (i *instance) count(name string) int64 {
	return i.relay.opts.Registry.Get(name).(metrics.Counter).Count()
}

// startInstances starts instances that help each other with all addresses but unknown.
// An instance whose name begins with "old" does not know the channel.
func startInstances(t *testing.T, change func(o *Options), names ...string) map[string]*instance {
	addresses := map[string]string{}
	listeners := map[string]net.Listener{}
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners[name], addresses[name] = l, l.Addr().String()
	}
	all := map[string]*instance{}
	for _, name := range names {
		i := &instance{network: peer.Listen(listeners[name], peer.Options{ID: name, Addresses: addresses, Logger: zap.NewNop(), Registry: metrics.NewRegistry()})}
		t.Cleanup(func() { _ = i.network.Close() })
		all[name] = i
		if strings.HasPrefix(name, "old") {
			continue
		}
		o := Options{FailureDomain: "z", Network: i.network, Direct: i.direct, MaxHelped: 8, Logger: zap.NewNop(), Registry: metrics.NewRegistry(),
			Known: func(address string) bool { return address != "unknown" }, OnChange: func(string) { i.changes.Add(1) },
			Helpers: func() []reach.Helper {
				var others []reach.Helper
				for _, other := range names {
					if other != name {
						others = append(others, reach.Helper{ID: other, FailureDomain: "z"})
					}
				}
				return others
			}}
		if change != nil {
			change(&o)
		}
		i.relay = New(o)
		t.Cleanup(i.relay.Close)
	}
	return all
}

// serveLines starts an upstream that handles each connection.
func serveLines(t *testing.T, handle func(conn *net.TCPConn)) (address string, open *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	open = &atomic.Int32{}
	var done sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		done.Wait()
	})
	done.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			done.Go(func() {
				defer open.Add(-1)
				defer conn.Close()
				handle(conn.(*net.TCPConn))
			})
		}
	})
	return l.Addr().String(), open
}

// echo answers each line until the connection ends.
func echo(conn *net.TCPConn) { _, _ = io.Copy(conn, conn) }

func exchange(t *testing.T, conn net.Conn, line string) {
	t.Helper()
	_, err := io.WriteString(conn, line+"\n")
	require.NoError(t, err)
	answer, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, line+"\n", answer)
}

func through(conn net.Conn) string {
	if c, ok := conn.(*throughConn); ok {
		return c.Through()
	}
	return ""
}

// Guards against an upstream that is not reached although another instance reaches it,
// against waiting with each connection, and against a healed way that is not used.
func TestConnectThroughAnother(t *testing.T) {
	for _, hang := range []bool{true, false} {
		t.Run(fmt.Sprint("hang ", hang), func(t *testing.T) {
			all := startInstances(t, nil, "a", "b")
			address, _ := serveLines(t, echo)
			a := all["a"]
			a.hang.Store(hang)
			a.refuse.Store(!hang)
			first, err := a.relay.Dial(t.Context(), address)
			require.NoError(t, err)
			defer first.Close()
			require.Equal(t, "b", through(first))
			exchange(t, first, "hello")
			require.EqualValues(t, 1, a.changes.Load())
			started := time.Now()
			second, err := a.relay.Dial(t.Context(), address)
			require.NoError(t, err)
			defer second.Close()
			require.Less(t, time.Since(started), directHeadStart, "the cut is known")
			exchange(t, second, "hello")
			a.hang.Store(false)
			a.refuse.Store(false)
			require.Eventually(t, func() bool {
				conn, err := a.relay.Dial(t.Context(), address)
				require.NoError(t, err)
				defer conn.Close()
				return through(conn) == ""
			}, 2*time.Second, 20*time.Millisecond)
			require.EqualValues(t, 2, a.changes.Load())
			exchange(t, first, "still open")
		})
	}
}

// Guards against help that is asked for without need.
func TestDirectConnection(t *testing.T) {
	all := startInstances(t, nil, "a", "b")
	address, _ := serveLines(t, echo)
	conn, err := all["a"].relay.Dial(t.Context(), address)
	require.NoError(t, err)
	defer conn.Close()
	require.Empty(t, through(conn))
	require.Zero(t, all["b"].dialed.Load())
}

// Guards against an upstream that has ended being taken for one that is cut off, and
// against questions to all instances with each request to it.
func TestUpstreamHasEnded(t *testing.T) {
	all := startInstances(t, nil, "a", "b", "c")
	address := nettest.RefusingAddress(t)
	for range 10 {
		_, err := all["a"].relay.Dial(t.Context(), address)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
	require.LessOrEqual(t, all["b"].dialed.Load()+all["c"].dialed.Load(), int32(2))
	require.Zero(t, all["a"].changes.Load())
}

// Guards against an instance that is tried no further because some of the others cannot
// help, and against waiting for these.
func TestOthersCannotHelp(t *testing.T) {
	all := startInstances(t, nil, "a", "cut", "hanging", "old", "draining", "sound")
	address, _ := serveLines(t, echo)
	all["a"].refuse.Store(true)
	all["cut"].refuse.Store(true)
	all["hanging"].hang.Store(true)
	all["draining"].relay.Drain()
	for range 20 {
		started := time.Now()
		conn, err := all["a"].relay.Dial(t.Context(), address)
		require.NoError(t, err)
		require.Equal(t, "sound", through(conn))
		exchange(t, conn, "hello")
		require.NoError(t, conn.Close())
		require.Less(t, time.Since(started), openTimeout)
	}
}

// Guards against an instance that is left out because another one was faster.
func TestSlowerHelperIsNotBlamed(t *testing.T) {
	all := startInstances(t, nil, "a", "b", "c")
	address, _ := serveLines(t, echo)
	all["a"].refuse.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	all["b"].hang.Store(true)
	time.AfterFunc(20*time.Millisecond, cancel)
	d := all["a"].relay.open(ctx, "b", address)
	require.Error(t, d.err)
	order := all["a"].relay.reach.Order(time.Now(), rand.New(rand.NewPCG(1, 2)), "z", []reach.Helper{{ID: "b", FailureDomain: "z"}})
	require.Equal(t, []string{"b"}, order)
}

// Guards against connections that an instance opens to anyone's address for others, or
// without a bound, and against a chain of instances.
func TestHelpIsBounded(t *testing.T) {
	t.Run("unknown address", func(t *testing.T) {
		all := startInstances(t, nil, "a", "b")
		all["a"].refuse.Store(true)
		_, err := all["a"].relay.Dial(t.Context(), "unknown")
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		require.Zero(t, all["b"].dialed.Load())
	})
	t.Run("too many", func(t *testing.T) {
		all := startInstances(t, func(o *Options) { o.MaxHelped = 2 }, "a", "b")
		address, _ := serveLines(t, echo)
		all["a"].refuse.Store(true)
		for range 2 {
			conn, err := all["a"].relay.Dial(t.Context(), address)
			require.NoError(t, err)
			defer conn.Close()
		}
		_, err := all["a"].relay.Dial(t.Context(), address)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		require.EqualValues(t, 1, all["b"].count("relay.refused"))
	})
	t.Run("chain", func(t *testing.T) {
		all := startInstances(t, nil, "a", "b", "c")
		address, _ := serveLines(t, echo)
		all["a"].refuse.Store(true)
		all["b"].refuse.Store(true)
		conn, err := all["b"].relay.Dial(t.Context(), address)
		require.NoError(t, err)
		defer conn.Close()
		before := all["c"].count("relay.helped")
		stream, err := all["a"].network.OpenStream(t.Context(), "b", Channel)
		require.NoError(t, err)
		defer stream.Close()
		_, err = openThrough(stream, "b", address)
		require.Equal(t, fault.Unavailable, fault.CodeOf(err))
		require.Equal(t, before, all["c"].count("relay.helped"))
	})
}

// Guards against a part of an answer that passes for the whole one because its end came
// over another instance.
func TestEndOfConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		handle  func(conn *net.TCPConn)
		send    int
		orderly bool
	}{
		{"orderly", func(conn *net.TCPConn) { _, _ = io.WriteString(conn, "answer") }, 0, true},
		{"reset", func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "answer")
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetLinger(0)
		}, 0, false},
		{"ended before the request was written", func(conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 1))
			_, _ = io.WriteString(conn, "answer")
			_ = conn.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		}, 16 << 20, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := startInstances(t, nil, "a", "b")
			address, _ := serveLines(t, c.handle)
			all["a"].refuse.Store(true)
			conn, err := all["a"].relay.Dial(t.Context(), address)
			require.NoError(t, err)
			if c.send > 0 {
				go func() { _, _ = conn.Write(make([]byte, c.send)) }()
			}
			data, err := io.ReadAll(conn)
			require.Equal(t, c.orderly, err == nil, "%v", err)
			if c.orderly {
				require.Equal(t, "answer", string(data))
				_, err = conn.Write([]byte("more of the request"))
				require.Error(t, err, "nobody gets it")
			}
			require.NoError(t, conn.Close())
		})
	}
	t.Run("the other instance ends", func(t *testing.T) {
		all := startInstances(t, nil, "a", "b")
		address, _ := serveLines(t, echo)
		all["a"].refuse.Store(true)
		conn, err := all["a"].relay.Dial(t.Context(), address)
		require.NoError(t, err)
		defer conn.Close()
		exchange(t, conn, "hello")
		require.NoError(t, all["b"].network.Close())
		_, err = conn.Read(make([]byte, 1))
		require.Error(t, err)
		require.False(t, errors.Is(err, io.EOF))
	})
}

// Guards against work that goes on at an upstream after its caller has left.
func TestCloseReachesUpstream(t *testing.T) {
	all := startInstances(t, nil, "a", "b")
	address, open := serveLines(t, echo)
	all["a"].refuse.Store(true)
	conn, err := all["a"].relay.Dial(t.Context(), address)
	require.NoError(t, err)
	exchange(t, conn, "hello")
	require.EqualValues(t, 1, open.Load())
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return open.Load() == 0 }, 500*time.Millisecond, 5*time.Millisecond)
}

// Guards against a planned stop of an instance that interrupts the requests of others, or
// that waits for connections which they keep open without one.
func TestDrain(t *testing.T) {
	all := startInstances(t, nil, "a", "b")
	address, _ := serveLines(t, echo)
	all["a"].refuse.Store(true)
	conn, err := all["a"].relay.Dial(t.Context(), address)
	require.NoError(t, err)
	exchange(t, conn, "before")
	leaving := make(chan struct{})
	conn.(*throughConn).OnLeaving(func() { close(leaving) })
	all["b"].relay.Drain()
	go func() { _, _ = io.WriteString(conn, "after\n") }()
	answer, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "after\n", answer)
	<-leaving
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Error(t, all["b"].relay.Wait(short), "a connection is open")
	require.NoError(t, conn.Close())
	require.NoError(t, all["b"].relay.Wait(t.Context()))
}
