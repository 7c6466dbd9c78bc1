package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/peer"
)

const (
	// contact is the contact_ms of the platform: the time within which all
	// entries must act on a crash.
	contact = 3 * time.Second
	// partCrashLimit is the number of crashes after which requests with a part
	// must stop, lateLimit the number of them that may still reach an upstream
	// once contact has passed.
	partCrashLimit, lateLimit = 5, 3
	engineRestartTime         = 500 * time.Millisecond
)

// entryCluster is a set of entries that exchange messages.
type entryCluster struct {
	entries []*Entry
	servers []*httptest.Server
}

func newEntryCluster(t *testing.T, size int) *entryCluster {
	c := &entryCluster{}
	addresses := map[string]string{}
	var ids []string
	var listeners []net.Listener
	for n := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		ids, listeners = append(ids, fmt.Sprint("entry-", n)), append(listeners, listener)
		addresses[ids[n]] = listener.Addr().String()
	}
	content := testCatalog(t)
	for n, id := range ids {
		network := peer.Listen(listeners[n], peer.Options{ID: id, Addresses: addresses, Logger: zap.NewNop(), Registry: metrics.NewRegistry()})
		t.Cleanup(func() { require.NoError(t, network.Close()) })
		e := Start(Options{ID: id, FailureDomain: "z", Network: network, Protocol: testProtocol{}, Client: upstream.NewClient(nil),
			Decode: func([]byte) (*catalog.Catalog, error) { return content, nil }, Logger: zap.NewNop(), Registry: metrics.NewRegistry(),
			RetryBudget: RetryBudget{Ratio: 0.2, Allowance: 500, Window: 10 * time.Second}})
		t.Cleanup(e.Close)
		require.NoError(t, e.installCatalog("test", 1, nil))
		e.mu.Lock()
		e.entries = size
		// The control instance of the test sends no further updates.
		e.sources["test"] = &updateSource{lastUpdate: time.Now().Add(time.Hour), reachable: ids}
		e.mu.Unlock()
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		c.entries, c.servers = append(c.entries, e), append(c.servers, server)
	}
	return c
}

// register passes the report of an upstream to all entries.
func (c *entryCluster) register(u fleet.Upstream) {
	for _, e := range c.entries {
		e.mu.Lock()
		e.table.Observe(time.Now(), u)
		e.rebuildView()
		e.mu.Unlock()
	}
}

// crashingEngines are heads of groups that end when they begin to write the
// answer to a request with a certain part in its prompt, other than the last.
type crashingEngines struct {
	t       *testing.T
	cluster *entryCluster
	part    string

	mu       sync.Mutex
	stopped  bool
	running  map[*httptest.Server]bool
	crashes  []time.Time
	arrivals []time.Time
}

func startCrashingEngines(t *testing.T, c *entryCluster, count int, part string) *crashingEngines {
	g := &crashingEngines{t: t, cluster: c, part: part, running: map[*httptest.Server]bool{}}
	for n := range count {
		g.start(fmt.Sprint("head-", n), 1)
	}
	t.Cleanup(g.stop)
	return g
}

func (g *crashingEngines) stop() {
	g.mu.Lock()
	g.stopped = true
	var all []*httptest.Server
	for server := range g.running {
		all = append(all, server)
	}
	g.mu.Unlock()
	for _, server := range all {
		server.CloseClientConnections()
		server.Close()
	}
}

// start starts an incarnation of a head.
func (g *crashingEngines) start(id string, incarnation int64) {
	const timeToFirstEvent, eventInterval, events = 20 * time.Millisecond, 10 * time.Millisecond, 30
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		parts := strings.Split(r.Header.Get("Parts"), ",")
		crashes := slices.Contains(parts[:len(parts)-1], g.part)
		if crashes {
			g.record(&g.arrivals)
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(timeToFirstEvent)
		if crashes {
			g.crash(server, id, incarnation)
			<-r.Context().Done()
			return
		}
		for n := range events {
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(eventInterval)
		}
	}))
	g.mu.Lock()
	g.running[server] = true
	g.mu.Unlock()
	g.cluster.register(fleet.Upstream{ID: id, Service: "model", Address: strings.TrimPrefix(server.URL, "http://"), FailureDomain: "z", Slots: 6,
		StartMillis: incarnation, Sequence: 1, Model: "m", Member: fleet.Membership{Group: "g-" + id, Epoch: 1, State: fleet.Open}})
}

// crash ends an incarnation once and starts the next one later.
func (g *crashingEngines) crash(server *httptest.Server, id string, incarnation int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped || !g.running[server] {
		return
	}
	delete(g.running, server)
	g.crashes = append(g.crashes, time.Now())
	_ = server.Listener.Close()
	go server.CloseClientConnections()
	time.AfterFunc(engineRestartTime, func() {
		server.Close()
		g.mu.Lock()
		stopped := g.stopped
		g.mu.Unlock()
		if !stopped {
			g.start(id, incarnation+1)
		}
	})
}

func (g *crashingEngines) record(times *[]time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*times = append(*times, time.Now())
}

// limitReachedAt returns the time of the last allowed crash, and false before it.
func (g *crashingEngines) limitReachedAt() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.crashes) < partCrashLimit {
		return time.Time{}, false
	}
	return g.crashes[partCrashLimit-1], true
}

// late counts the arrivals later than contact after the last allowed crash.
func (g *crashingEngines) late() (late, crashes int) {
	limit, reached := g.limitReachedAt()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, at := range g.arrivals {
		if reached && at.After(limit.Add(contact)) {
			late++
		}
	}
	return late, len(g.crashes)
}

// crashTraffic sends requests with the crashing part, no two alike, and sound
// requests that share their caller and their other parts, through all entries.
// It returns how many sound ones were sent and served in the second half.
func crashTraffic(t *testing.T, c *entryCluster, part string, duration time.Duration) (sent, served int) {
	const interval, crashingEvery, subjects = 20 * time.Millisecond, 4, 5
	var mu sync.Mutex
	var requests sync.WaitGroup
	started := time.Now()
	for n := 0; time.Since(started) < duration; n++ {
		counted := time.Since(started) > duration/2
		subject := fmt.Sprint("subject-", n%subjects)
		parts := "system," + subject + "," + fmt.Sprint("own-", n)
		crashing := n%crashingEvery == 0
		if crashing {
			parts = "system," + subject + "," + part + "," + fmt.Sprint("own-", n)
		}
		requests.Go(func() {
			// A last part belongs to one request, also if its id is that of another.
			if n%crashingEvery == 1 {
				parts = "system," + subject + "," + part
			}
			got := sendRequest(t, c.servers[n%len(c.servers)], "/chat/x", func(r *http.Request) {
				r.Header.Set("Id", fmt.Sprint("request-", n))
				r.Header.Set("Parts", parts)
				r.Body = io.NopCloser(strings.NewReader(fmt.Sprint("body ", n)))
				r.ContentLength = -1
			})
			mu.Lock()
			defer mu.Unlock()
			if counted && !crashing {
				sent++
				if got.status == http.StatusOK && got.whole {
					served++
				}
			}
		})
		time.Sleep(interval)
	}
	requests.Wait()
	return sent, served
}

// Guards against a part of a prompt that crashes each engine that begins to write
// an answer on it: no two requests are alike, so that quarantine by request finds
// nothing, and engines end as often as they start.
func TestPromptPartThatCrashesEnginesIsStopped(t *testing.T) {
	const entries, heads = 3, 12
	c := newEntryCluster(t, entries)
	g := startCrashingEngines(t, c, heads, "poison")
	sent, served := crashTraffic(t, c, "poison", 2*time.Second+contact+2*time.Second)
	late, crashes := g.late()
	t.Logf("%d heads ended; requests with the part came %d times after the limit; %d of %d sound requests were served in the second half", crashes, late, served, sent)
	require.Positive(t, crashes)
	require.LessOrEqual(t, late, lateLimit, "requests with a part under which %d engines had ended were sent to engines again", partCrashLimit)
	require.Greater(t, served, sent*9/10, "sound requests of the same caller and parts are served")
}
