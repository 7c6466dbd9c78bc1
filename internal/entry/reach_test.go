package entry

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutKind is what a partition does to the connections of an entry to upstreams.
type cutKind int32

const (
	notCut cutKind = iota
	// hangs loses what is sent on open connections and for new ones.
	hangs
	// resetsAll ends open connections and refuses new ones.
	resetsAll
	// refusesNew leaves open connections alone.
	refusesNew
)

// upstreamCut is the way from one entry to the upstreams.
type upstreamCut struct {
	kind atomic.Int32

	mu    sync.Mutex
	conns map[*cutConn]struct{}
	// dialed counts the connections that were opened.
	dialed atomic.Int32
}

func (c *upstreamCut) is(k cutKind) bool { return cutKind(c.kind.Load()) == k }

func (c *upstreamCut) set(k cutKind) {
	c.kind.Store(int32(k))
	if k != resetsAll {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		_ = conn.Conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Conn.Close()
	}
}

func (c *upstreamCut) dial(ctx context.Context, address string) (net.Conn, error) {
	switch {
	case c.is(hangs):
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Second):
			return nil, syscall.ETIMEDOUT
		}
	case !c.is(notCut):
		return nil, syscall.ECONNREFUSED
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.dialed.Add(1)
	cut := &cutConn{Conn: conn, way: c, closed: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[*cutConn]struct{}{}
	}
	c.conns[cut] = struct{}{}
	return cut, nil
}

// cutConn is a connection that may hang.
type cutConn struct {
	net.Conn
	way    *upstreamCut
	once   sync.Once
	closed chan struct{}
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.way.is(hangs) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.way.is(hangs) {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(10 * time.Millisecond):
		}
	}
	return n, err
}

func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.way.mu.Lock()
	delete(c.way.conns, c)
	c.way.mu.Unlock()
	return c.Conn.Close()
}

// runCounter counts the runs of each request at upstreams.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) script(next handlerFunc) handlerFunc {
	return func(u *fakeUpstream, n int, w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.runs[r.Header.Get("Id")]++
		c.mu.Unlock()
		next(u, n, w, r)
	}
}

func (c *runCounter) all() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.runs)
}

// Guards against entries that serve nobody because they, and only they, are cut off from
// all upstreams, and against upstreams that count as crashed for that reason.
func TestEntriesCutOffFromUpstreams(t *testing.T) {
	const (
		entries = 4
		// measured is the time after contact in which first attempts are counted.
		measured = 3 * time.Second
		// pause is the time between two requests of a kind at an entry. The upstreams
		// refuse requests when the machine is slow and there are many at a time.
		pause = 100 * time.Millisecond
		// tolerance is the fraction by which a cut-off entry may serve less.
		tolerance = 0.03
	)
	for _, kind := range []struct {
		name string
		kind cutKind
	}{{"connections hang", hangs}, {"connections are reset", resetsAll}, {"new connections are refused", refusesNew}} {
		for _, cut := range []int{1, entries - 1} {
			t.Run(fmt.Sprintf("%s at %d of %d", kind.name, cut, entries), func(t *testing.T) {
				t.Parallel()
				runs := &runCounter{runs: map[string]int{}}
				c := newEntryCluster(t, entries)
				for n := range 3 {
					app := newUpstream(t, fmt.Sprint("app-", n), runs.script(answer("answer")))
					c.register(app.record("app", ""))
					head := newUpstream(t, fmt.Sprint("head-", n), runs.script(stream(5, nil)))
					c.register(head.record("model", "m"))
				}
				c.waitUpstreams(3)
				var served, sent [entries]atomic.Int32
				var counting, over atomic.Bool
				var clients sync.WaitGroup
				for n := range entries {
					for i, path := range []string{"/read/x", "/order/x", "/chat/x"} {
						clients.Go(func() {
							for k := 0; !over.Load(); k++ {
								counted := counting.Load()
								id := fmt.Sprintf("%d-%d-%d", n, i, k)
								clients.Go(func() {
									result := sendRequest(t, c.member(n).server, path, func(r *http.Request) { r.Header.Set("Id", id) })
									if !counted {
										return
									}
									sent[n].Add(1)
									if result.status == http.StatusOK && result.whole && result.body != "" {
										served[n].Add(1)
									}
								})
								time.Sleep(pause)
							}
						})
					}
				}
				time.Sleep(300 * time.Millisecond)
				for n := range cut {
					c.cuts[c.ids[n]].set(kind.kind)
				}
				time.Sleep(contact)
				counting.Store(true)
				time.Sleep(measured)
				over.Store(true)
				clients.Wait()
				share := func(from, to int) float64 {
					var ok, all int32
					for n := from; n < to; n++ {
						ok, all = ok+served[n].Load(), all+sent[n].Load()
					}
					require.Positive(t, all)
					return float64(ok) / float64(all)
				}
				others := share(cut, entries)
				require.GreaterOrEqual(t, others, 1-tolerance, "served by the entries that are not cut off")
				require.GreaterOrEqual(t, share(0, cut), others-tolerance, "served by the entries that are cut off, the others serve %.2f", others)
				for id, n := range runs.all() {
					if strings.Contains(id, "-1-") {
						require.LessOrEqual(t, n, 1, "runs of the order %s", id)
					}
				}
				for n := range entries {
					for _, t2 := range targetsOf(c.member(n).entry) {
						require.False(t, c.member(n).entry.crashes.Tracker().KnownCrash(t2.incarnation()), "%s counts as crashed at entry %d", t2.upstream.ID, n)
					}
				}
			})
		}
	}
}

// targetsOf returns the targets of an entry.
func targetsOf(e *Entry) []*target {
	v := e.view.Load()
	return append(append([]*target{}, v.services["app"].plain...), v.services["model"].groups["m"]...)
}
