package entry

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/control"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/internal/peer"
)

const (
	// contact is the contact_ms of the platform: the time within which all
	// entries must act on a crash.
	contact = 3 * time.Second
	// partCrashLimit is the number of crashes after which requests with a part
	// must stop, requestCrashLimit that for one request. lateLimit is the number
	// of them that may still reach an upstream once contact has passed.
	partCrashLimit, requestCrashLimit, lateLimit = 5, 3, 3
	engineRestartTime                            = 500 * time.Millisecond
	// crashingBody begins the body of requests that crash engines whatever their
	// parts are.
	crashingBody = "crash"
)

// entryCluster is a set of entries that exchange messages, with a stand-in for
// their control instances.
type entryCluster struct {
	t         *testing.T
	ids       []string
	addresses map[string]string
	// control answers subscriptions, stores verdicts and hands out the catalog.
	control *peer.Network

	mu        sync.Mutex
	members   []*entryMember
	upstreams map[string]fleet.Upstream
	renewed   map[string]time.Time
	verdicts  map[string]*mesh.Verdict
	updates   uint64
	// severed are entries that cannot exchange messages with any other entry,
	// only with the control instances.
	severed map[string]bool
	// links are the connections between entries.
	links []*entryLink
	// cuts are the connections of entries to upstreams.
	cuts map[string]*upstreamCut
}

// entryLink is a connection from one entry to another.
type entryLink struct {
	net.Conn
	from, to string
	// silent is set when what is written is lost.
	silent atomic.Bool
}

func (l *entryLink) Write(b []byte) (int, error) {
	if l.silent.Load() {
		return len(b), nil
	}
	return l.Conn.Write(b)
}

// entryMember is one run of an entry. Its client keeps connections open.
type entryMember struct {
	entry   *Entry
	network *peer.Network
	server  *httptest.Server
	client  *http.Client
}

const controlID = "control"

func newEntryCluster(t *testing.T, size int, severed ...string) *entryCluster {
	c := &entryCluster{t: t, addresses: map[string]string{}, severed: map[string]bool{}, members: make([]*entryMember, size), upstreams: map[string]fleet.Upstream{},
		renewed: map[string]time.Time{}, verdicts: map[string]*mesh.Verdict{}, cuts: map[string]*upstreamCut{}}
	for _, id := range severed {
		c.sever(id)
	}
	// Entries start again on their ports.
	host := fake.LoopbackIP()
	listen := func(id string) net.Listener {
		listener, err := net.Listen("tcp", host+":0")
		require.NoError(t, err)
		c.addresses[id] = listener.Addr().String()
		return listener
	}
	listeners := make([]net.Listener, size)
	for n := range size {
		c.ids = append(c.ids, fmt.Sprint("entry-", n))
		c.cuts[c.ids[n]] = &upstreamCut{}
		listeners[n] = listen(c.ids[n])
	}
	c.control = peer.Listen(listen(controlID), peer.Options{ID: controlID, Addresses: c.addresses, Logger: zap.NewNop(), Registry: metrics.NewRegistry()})
	c.control.Handle(mesh.ChannelSubscribe, c.serveSubscribe)
	c.control.Handle(mesh.ChannelCatalog, c.serveCatalog)
	c.control.Handle(mesh.ChannelVerdicts, c.serveVerdicts)
	t.Cleanup(func() { require.NoError(t, c.control.Close()) })
	for n := range size {
		c.start(n, listeners[n])
	}
	t.Cleanup(func() {
		for n := range size {
			c.stop(n)
		}
	})
	return c
}

func (c *entryCluster) serveSubscribe(_ context.Context, from string, _ []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewed[from] = time.Now()
	c.publish()
	return nil, nil
}

func (c *entryCluster) serveCatalog(context.Context, string, []byte) ([]byte, error) {
	document, err := mesh.Compress(nil)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return proto.Marshal(&mesh.CatalogReply{Version: 1, Document: document, Verdicts: c.verdictList()})
}

func (c *entryCluster) serveVerdicts(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var list mesh.VerdictList
	if err := proto.Unmarshal(payload, &list); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range list.Verdicts {
		c.verdicts[string(v.Digest)] = v
	}
	c.publish()
	return nil, nil
}

// verdictList lists the stored verdicts. The caller holds mu.
func (c *entryCluster) verdictList() *mesh.VerdictList {
	return &mesh.VerdictList{Verdicts: slices.Collect(maps.Values(c.verdicts))}
}

// publish sends a complete update to the entries. The caller holds mu.
func (c *entryCluster) publish() {
	c.updates++
	update := &mesh.Update{Source: 1, Number: c.updates, Complete: true, CatalogVersion: 1, Controls: []string{controlID}, Entries: uint32(len(c.ids)),
		Leader: controlID, Reachable: &mesh.InstanceList{}, Verdicts: c.verdictList()}
	for _, u := range c.upstreams {
		update.Upstreams = append(update.Upstreams, mesh.EncodeUpstream(&u))
	}
	for id, at := range c.renewed {
		if time.Since(at) < 3*control.SubscribeInterval {
			update.Reachable.Instances = append(update.Reachable.Instances, id)
		}
	}
	payload, err := proto.Marshal(update)
	if err != nil {
		c.t.Errorf("encode update: %v", err)
		return
	}
	for _, id := range c.ids {
		c.control.Send(id, mesh.ChannelUpdate, payload)
	}
}

// dialFrom returns the function that connects an entry to other instances.
func (c *entryCluster) dialFrom(from string) upstream.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		to := ""
		for id, a := range c.addresses {
			if a == address && id != controlID {
				to = id
			}
		}
		c.mu.Lock()
		cut := to != "" && (c.severed[from] || c.severed[to])
		c.mu.Unlock()
		if cut {
			return nil, syscall.ECONNREFUSED
		}
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil || to == "" {
			return conn, err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		link := &entryLink{Conn: conn, from: from, to: to}
		c.links = append(c.links, link)
		return link, nil
	}
}

// sever cuts an entry from all others until mend is called.
func (c *entryCluster) sever(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.severed[id] = true
	c.links = slices.DeleteFunc(c.links, func(l *entryLink) bool {
		if l.from != id && l.to != id {
			return false
		}
		_ = l.Close()
		return true
	})
}

// silence makes the open connections of an entry to others lose what is written,
// for good. New connections work.
func (c *entryCluster) silence(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		if l.from == id || l.to == id {
			l.silent.Store(true)
		}
	}
}

// mend ends the cut of an entry.
func (c *entryCluster) mend(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.severed, id)
}

// start starts an entry without any state and waits until it has a catalog.
func (c *entryCluster) start(n int, listener net.Listener) {
	content := testCatalog(c.t)
	network := peer.Listen(listener, peer.Options{ID: c.ids[n], Addresses: c.addresses, Dial: c.dialFrom(c.ids[n]), Logger: zap.NewNop(), Registry: metrics.NewRegistry()})
	e := Start(Options{ID: c.ids[n], FailureDomain: "z", Seeds: []string{controlID}, Network: network, Protocol: testProtocol{}, Client: upstream.NewClient(c.cuts[c.ids[n]].dial),
		Decode: func([]byte) (*catalog.Catalog, error) { return content, nil }, Logger: zap.NewNop(), Registry: metrics.NewRegistry(),
		RetryBudget: RetryBudget{Ratio: 0.2, Allowance: 500, Window: 10 * time.Second}})
	m := &entryMember{entry: e, network: network, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	select {
	case <-e.Configured():
	case <-time.After(10 * time.Second):
		c.t.Errorf("%s has no catalog", c.ids[n])
	}
	m.server = httptest.NewServer(e)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[n] = m
}

// stop ends an entry, and with it the requests that it serves.
func (c *entryCluster) stop(n int) {
	c.mu.Lock()
	m := c.members[n]
	c.members[n] = nil
	c.mu.Unlock()
	if m == nil {
		return
	}
	m.server.CloseClientConnections()
	m.server.Close()
	m.client.CloseIdleConnections()
	m.entry.Close()
	require.NoError(c.t, m.network.Close())
}

// member returns an entry, nil while it is down.
func (c *entryCluster) member(n int) *entryMember {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[n]
}

// register passes the report of an upstream to all entries.
func (c *entryCluster) register(u fleet.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreams[u.ID] = u
	c.publish()
}

// waitUpstreams waits until all entries use the given number of upstreams of each service.
func (c *entryCluster) waitUpstreams(count int) {
	for n := range c.ids {
		require.Eventually(c.t, func() bool {
			v := c.member(n).entry.view.Load()
			return v.services["app"] != nil && len(v.services["app"].plain) == count && v.services["model"] != nil && len(v.services["model"].groups["m"]) == count
		}, 10*time.Second, 10*time.Millisecond)
	}
}

// chat sends a request through an entry on an open connection. It returns false
// if the entry is down.
func (c *entryCluster) chat(n int, id, body, parts string) (status int, whole, sent bool) {
	m := c.member(n)
	if m == nil {
		return 0, false, false
	}
	req, err := http.NewRequest(http.MethodPost, m.server.URL+"/chat/x", strings.NewReader(body))
	if err != nil {
		return 0, false, false
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"Id": id, "Key": "key", "Model": "m", "Parts": parts} {
		req.Header.Set(name, value)
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, false, c.member(n) == m
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err == nil, err == nil || c.member(n) == m
}

// crashingEngines are heads of groups that end when they begin to write the
// answer to a request with a certain part in its prompt, other than the last.
type crashingEngines struct {
	t       *testing.T
	cluster *entryCluster
	part    string

	mu       sync.Mutex
	stopped  bool
	running  map[*httptest.Server]*runningHead
	crashes  map[crashCause][]time.Time
	arrivals map[crashCause][]time.Time
}

// runningHead is one run of a head.
type runningHead struct {
	id          string
	incarnation int64
}

// crashCause is why a head ends.
type crashCause int

const (
	byItself crashCause = iota
	byPart
	byRequest
)

func startCrashingEngines(t *testing.T, c *entryCluster, count int, part string) *crashingEngines {
	g := &crashingEngines{t: t, cluster: c, part: part, running: map[*httptest.Server]*runningHead{},
		crashes: map[crashCause][]time.Time{}, arrivals: map[crashCause][]time.Time{}}
	for n := range count {
		g.start(fmt.Sprint("head-", n), 1)
	}
	t.Cleanup(g.stop)
	for n := range c.ids {
		require.Eventually(t, func() bool {
			v := c.member(n).entry.view.Load()
			return v.services["model"] != nil && len(v.services["model"].groups["m"]) == count
		}, 10*time.Second, 10*time.Millisecond)
	}
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
		body, _ := io.ReadAll(r.Body)
		parts := strings.Split(r.Header.Get("Parts"), ",")
		cause := byItself
		switch {
		case slices.Contains(parts[:len(parts)-1], g.part):
			cause = byPart
		case strings.HasPrefix(string(body), crashingBody):
			cause = byRequest
		}
		g.recordArrival(cause)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(timeToFirstEvent)
		if cause != byItself {
			g.end(server, cause)
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
	g.running[server] = &runningHead{id, incarnation}
	g.mu.Unlock()
	g.cluster.register(fleet.Upstream{ID: id, Service: "model", Address: strings.TrimPrefix(server.URL, "http://"), FailureDomain: "z", Slots: 6,
		StartMillis: incarnation, Sequence: 1, Model: "m", Member: fleet.Membership{Group: "g-" + id, Epoch: 1, State: fleet.Open}})
}

// end ends the run of a head, once, and starts the next one later.
func (g *crashingEngines) end(server *httptest.Server, cause crashCause) {
	g.mu.Lock()
	defer g.mu.Unlock()
	head := g.running[server]
	if g.stopped || head == nil {
		return
	}
	delete(g.running, server)
	g.crashes[cause] = append(g.crashes[cause], time.Now())
	_ = server.Listener.Close()
	go server.CloseClientConnections()
	time.AfterFunc(engineRestartTime, func() {
		server.Close()
		g.mu.Lock()
		stopped := g.stopped
		g.mu.Unlock()
		if !stopped {
			g.start(head.id, head.incarnation+1)
		}
	})
}

// endOne ends a running head for no reason that requests have.
func (g *crashingEngines) endOne() {
	g.mu.Lock()
	var server *httptest.Server
	for s := range g.running {
		server = s
		break
	}
	g.mu.Unlock()
	if server != nil {
		g.end(server, byItself)
	}
}

func (g *crashingEngines) recordArrival(cause crashCause) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrivals[cause] = append(g.arrivals[cause], time.Now())
}

// limitReachedAt returns the time of the last crash that is allowed for a cause,
// and false before it.
func (g *crashingEngines) limitReachedAt(cause crashCause) (time.Time, bool) {
	limit := partCrashLimit
	if cause == byRequest {
		limit = requestCrashLimit
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.crashes[cause]) < limit {
		return time.Time{}, false
	}
	return g.crashes[cause][limit-1], true
}

// late counts the arrivals later than contact after the last allowed crash.
func (g *crashingEngines) late(cause crashCause) (late, crashes int) {
	limit, reached := g.limitReachedAt(cause)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, at := range g.arrivals[cause] {
		if reached && at.After(limit.Add(contact)) {
			late++
		}
	}
	return late, len(g.crashes[cause])
}

// crashTraffic sends requests with the crashing part, no two alike, and sound
// requests that share their caller and their other parts, through all entries.
// It returns how many sound ones were sent and served in the second half.
func crashTraffic(c *entryCluster, part string, duration time.Duration) (sent, served int) {
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
		// A last part belongs to one request, also if its id is that of another.
		if n%crashingEvery == 1 {
			parts = "system," + subject + "," + part
		}
		requests.Go(func() {
			status, whole, attempted := c.chat(n%len(c.ids), fmt.Sprint("request-", n), fmt.Sprint("body ", n), parts)
			mu.Lock()
			defer mu.Unlock()
			if counted && !crashing && attempted {
				sent++
				if status == http.StatusOK && whole {
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
	sent, served := crashTraffic(c, "poison", 2*time.Second+contact+2*time.Second)
	late, crashes := g.late(byPart)
	t.Logf("%d heads ended; requests with the part came %d times after the limit; %d of %d sound requests were served in the second half", crashes, late, served, sent)
	require.Positive(t, crashes)
	require.LessOrEqual(t, late, lateLimit, "requests with a part under which %d engines had ended were sent to engines again", partCrashLimit)
	require.Greater(t, served, sent*9/10, "sound requests of the same caller and parts are served")
}

// Guards against an entry that the control instances report as reachable, but
// that exchanges no messages with the others: its reports are missing on each
// crash, and no entry may wait for them for good.
func TestUnreachableEntryDoesNotStopQuarantine(t *testing.T) {
	const entries, heads = 3, 12
	c := newEntryCluster(t, entries, "entry-2")
	g := startCrashingEngines(t, c, heads, "poison")
	sent, served := crashTraffic(c, "poison", 2*time.Second+2*contact)
	late, crashes := g.late(byPart)
	t.Logf("%d heads ended; requests with the part came %d times after the limit; %d of %d sound requests were served in the second half", crashes, late, served, sent)
	require.Positive(t, crashes)
	require.LessOrEqual(t, late, lateLimit, "requests with a part under which %d engines had ended were sent to engines again", partCrashLimit)
	require.Greater(t, served, sent*9/10, "sound requests of the same caller and parts are served")
}
