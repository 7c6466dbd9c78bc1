package feed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/settings"
)

// history holds the tree and the record of every revision of a settings store.
type history struct {
	trees   []*settings.Tree
	records []settings.Record
}

func newHistory(t *testing.T, revisions int) *history {
	store := settings.New()
	h := &history{trees: []*settings.Tree{store.Tree()}}
	for i := range revisions {
		r := store.Apply(settings.Change{ID: fmt.Sprint(i), Base: uint64(i), Ops: []settings.Op{
			{Op: settings.OpSet, Path: "/", Key: settings.KeyClaimMaxRecords, Value: settings.Number(float64(i + 1))},
		}})
		require.Equal(t, settings.Applied, r.Code)
		h.trees = append(h.trees, store.Tree())
	}
	h.records = store.History(0)
	return h
}

// fakeState is a State at a given revision of a history.
type fakeState struct {
	history *history
	newest  func() uint64

	mu        sync.Mutex
	revision  uint64
	kept      uint64
	hasLeader bool
	groups    map[string]*group.State
	verdicts  *quarantine.Stored
	changed   chan struct{}
}

func newFakeState(h *history, newest func() uint64) *fakeState {
	return &fakeState{history: h, newest: newest, hasLeader: true, kept: 1 << 20, changed: make(chan struct{}), groups: map[string]*group.State{}}
}

func (s *fakeState) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeState) Tree() *settings.Tree {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.trees[s.revision]
}

func (s *fakeState) Since(revision uint64) ([]settings.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.revision || s.revision-revision > s.kept {
		return nil, false
	}
	return s.history.records[revision:s.revision], true
}

func (s *fakeState) Groups() map[string]*group.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]*group.State{}
	for domain, state := range s.groups {
		all[domain] = state
	}
	return all
}

func (s *fakeState) Verdicts() *quarantine.Stored {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdicts
}

func (s *fakeState) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *fakeState) HasLeader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasLeader
}

func (s *fakeState) Barrier(context.Context) error {
	if !s.HasLeader() {
		return errors.New("no leader")
	}
	if newest := s.newest(); newest > s.Tree().Revision() {
		s.change(func() { s.revision = newest })
	}
	return nil
}

func groupsAt(revision uint64) *group.State {
	state := group.NewState()
	state.Revision = revision
	return state
}

// sourceFault is the fault injected into requests to a source.
type sourceFault int

const (
	healthy sourceFault = iota
	refusing
	silent
	losingReplies
	duplicating
)

// testFeed connects one client at a time to several sources, which can be at
// different revisions.
type testFeed struct {
	sources []*Source
	states  []*fakeState
	newest  atomic.Uint64

	mu       sync.Mutex
	faults   []sourceFault
	requests int
	applied  []uint64
	groups   map[string][]uint64

	client *Client
	stop   func()
}

func newTestFeed(h *history, sources int) *testFeed {
	f := &testFeed{faults: make([]sourceFault, sources)}
	for range sources {
		state := newFakeState(h, f.newest.Load)
		f.states = append(f.states, state)
		f.sources = append(f.sources, NewSource(state))
	}
	return f
}

func (f *testFeed) send(ctx context.Context, source string, payload []byte) ([]byte, error) {
	i := int(source[0] - '0')
	f.mu.Lock()
	f.requests++
	fault := f.faults[i]
	f.mu.Unlock()
	switch fault {
	case refusing:
		return nil, errors.New("connection refused")
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case duplicating:
		if _, err := f.sources[i].Serve(ctx, "c", payload); err != nil {
			return nil, err
		}
	}
	reply, err := f.sources[i].Serve(ctx, "c", payload)
	if fault == losingReplies {
		return nil, errors.New("connection broke")
	}
	return reply, err
}

// start runs a new client with empty state.
func (f *testFeed) start(groupsOnly bool) {
	var names []string
	for i := range f.sources {
		names = append(names, fmt.Sprint(i))
	}
	f.applied, f.groups = nil, map[string][]uint64{}
	f.client = NewClient(Options{
		Sources: names, Send: f.send, GroupsOnly: groupsOnly, Logger: zap.NewNop(),
		OnTree: func(t *settings.Tree) { f.mu.Lock(); defer f.mu.Unlock(); f.applied = append(f.applied, t.Revision()) },
		OnGroups: func(domain string, state *group.State) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.groups[domain] = append(f.groups[domain], state.Revision)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { f.client.Run(ctx) })
	f.stop = func() { cancel(); done.Wait() }
}

// appliedRevisions returns the settings revisions that the current client
// applied.
func (f *testFeed) appliedRevisions() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.applied)
}

// appliedGroups returns the group revisions that the current client applied for
// a failure domain.
func (f *testFeed) appliedGroups(domain string) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.groups[domain])
}

func (f *testFeed) requestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

func (f *testFeed) setFault(i int, fault sourceFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[i] = fault
}

func (f *testFeed) setRevision(i int, revision uint64) {
	f.states[i].change(func() { f.states[i].revision = revision })
}

func (f *testFeed) isCurrent() bool {
	select {
	case <-f.client.Current():
		return true
	default:
		return false
	}
}

// Guards against settings that revert or stay stale forever, under any
// combination of stale sources, request faults and client restarts.
func TestRevisionNeverDecreases(t *testing.T) {
	const revisions = 30
	h := newHistory(t, revisions)
	synctest.Test(t, func(t *testing.T) {
		// rapid calls Deadline on a *testing.T, which a synctest bubble forbids.
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			f := newTestFeed(h, 3)
			f.start(false)
			defer func() { f.stop() }()
			// floor is the highest revision that any client had applied when the
			// current one started.
			floor, highest := uint64(0), uint64(0)
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				i := rapid.IntRange(0, 2).Draw(t, "source")
				switch rapid.IntRange(0, 6).Draw(t, "step") {
				case 0, 1:
					f.newest.Store(min(f.newest.Load()+1, revisions))
				case 2:
					f.setRevision(i, rapid.Uint64Range(f.states[i].Tree().Revision(), f.newest.Load()).Draw(t, "revision"))
				case 3:
					f.setFault(i, sourceFault(rapid.IntRange(0, 4).Draw(t, "fault")))
				case 4:
					hasLeader := rapid.Bool().Draw(t, "led")
					f.states[i].change(func() { f.states[i].hasLeader = hasLeader })
				case 5:
					f.states[i].change(func() { f.states[i].kept = uint64(rapid.IntRange(0, 5).Draw(t, "kept")) })
				case 6:
					f.stop()
					highest = max(highest, f.client.Tree().Revision())
					floor = highest
					f.start(false)
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond)
				synctest.Wait()
				require.True(t, slices.IsSorted(f.appliedRevisions()), "applied: %v", f.appliedRevisions())
				if f.isCurrent() {
					require.GreaterOrEqual(t, f.client.Tree().Revision(), floor)
				}
			}
			for i := range f.states {
				f.setFault(i, healthy)
				f.states[i].change(func() { f.states[i].hasLeader, f.states[i].revision = true, f.newest.Load() })
			}
			time.Sleep(time.Minute)
			synctest.Wait()
			require.Equal(t, f.newest.Load(), f.client.Tree().Revision())
			require.True(t, f.isCurrent())
			require.True(t, slices.IsSorted(f.appliedRevisions()), "applied: %v", f.appliedRevisions())
		})
	})
}

// Guards against a client that does not fail over from a failed source.
func TestClientLeavesFailedSource(t *testing.T) {
	cases := []struct {
		name string
		fail func(*testFeed)
	}{
		{"refuses", func(f *testFeed) { f.setFault(0, refusing) }},
		{"is silent", func(f *testFeed) { f.setFault(0, silent) }},
		{"loses replies", func(f *testFeed) { f.setFault(0, losingReplies) }},
		{"has no leader", func(f *testFeed) { f.states[0].change(func() { f.states[0].hasLeader = false }) }},
	}
	for _, c := range cases {
		for _, when := range []string{"from the start", "later"} {
			t.Run(c.name+" "+when, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFeed(newHistory(t, 5), 2)
					f.newest.Store(2)
					if when == "from the start" {
						c.fail(f)
					}
					f.start(false)
					defer f.stop()
					time.Sleep(time.Second)
					c.fail(f)
					f.newest.Store(4)
					f.setRevision(1, 4)
					time.Sleep(2 * requestTimeout)
					synctest.Wait()
					require.Equal(t, uint64(4), f.client.Tree().Revision())
					source, err := f.client.Source()
					require.NoError(t, err)
					require.Equal(t, "1", source)
				})
			})
		}
	}
}

// Guards against a new client applying state from a source that has not passed
// the barrier.
func TestFirstReplyNeedsBarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFeed(newHistory(t, 5), 1)
		f.newest.Store(5)
		f.setRevision(0, 2)
		f.states[0].hasLeader = false
		f.start(false)
		defer f.stop()
		time.Sleep(time.Minute)
		require.False(t, f.isCurrent())
		require.Zero(t, f.client.Tree().Revision())
		_, err := f.client.Source()
		require.Error(t, err)
		f.states[0].change(func() { f.states[0].hasLeader = true })
		time.Sleep(time.Second)
		require.True(t, f.isCurrent())
		require.Equal(t, []uint64{5}, f.appliedRevisions(), "only the revision after the barrier may be applied")
	})
}

// Guards against a long poll that does not return when newer state arrives, and
// against one that returns early when there is none.
func TestLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFeed(newHistory(t, 5), 1)
		f.start(false)
		defer f.stop()
		time.Sleep(time.Second)
		sent := f.requestCount()
		time.Sleep(longPollTimeout / 2)
		require.Equal(t, sent, f.requestCount(), "the request must wait for newer state")
		began := time.Now()
		f.setRevision(0, 3)
		synctest.Wait()
		require.Equal(t, uint64(3), f.client.Tree().Revision())
		require.Zero(t, time.Since(began), "the change must be sent immediately")
		f.states[0].change(func() { f.states[0].groups["a"] = groupsAt(1) })
		synctest.Wait()
		require.Equal(t, []uint64{1}, f.appliedGroups("a"))
		require.Equal(t, uint64(3), f.sources[0].Followers()[0].Revision, "the request reports the applied revision")
	})
}

// Guards against a reply in the wrong form: records although some are no longer
// retained or there are more than maxRecords, or a tree where records suffice.
func TestRecordsOrTree(t *testing.T) {
	h := newHistory(t, maxRecords+2)
	cases := []struct {
		name           string
		have, revision uint64
		kept           uint64
		tree           bool
	}{
		{"one behind", 4, 5, 10, false},
		{"as many as are kept", 2, 6, 4, false},
		{"more than are kept", 1, 6, 4, true},
		{"as many as a reply may hold", 1, maxRecords + 1, 1 << 20, false},
		{"more than a reply may hold", 1, maxRecords + 2, 1 << 20, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := newFakeState(h, nil)
			state.revision, state.kept = c.revision, c.kept
			reply, err := NewSource(state).Poll(t.Context(), "f", &Request{Revision: c.have})
			require.NoError(t, err)
			require.Equal(t, c.tree, len(reply.Tree) > 0)
			require.Equal(t, !c.tree, len(reply.Records) > 0)
			client := NewClient(Options{Logger: zap.NewNop()})
			client.tree.Store(h.trees[c.have])
			require.NoError(t, client.applyReply(reply))
			require.Equal(t, c.revision, client.Tree().Revision())
			require.NoError(t, client.applyReply(reply), "a duplicate reply changes nothing")
			require.Equal(t, c.revision, client.Tree().Revision())
		})
	}
}

// Guards against a reply that is late, malformed or made for another revision
// being partially applied.
func TestStaleAndDamagedReplies(t *testing.T) {
	h := newHistory(t, 10)
	replyAt := func(have, revision uint64, kept uint64) *Reply {
		state := newFakeState(h, nil)
		state.revision, state.kept = revision, kept
		reply, err := NewSource(state).Poll(t.Context(), "f", &Request{Revision: have})
		require.NoError(t, err)
		return reply
	}
	cases := []struct {
		name  string
		reply *Reply
		fails bool
		want  uint64
	}{
		{"older tree", replyAt(0, 4, 0), false, 5},
		{"older records", replyAt(0, 4, 10), false, 5},
		{"records that overlap", replyAt(3, 8, 10), false, 8},
		{"records with a gap", replyAt(7, 9, 10), true, 5},
		{"damaged tree", &Reply{Tree: []byte("{")}, true, 5},
		{"damaged records", &Reply{Records: []byte("{")}, true, 5},
		{"damaged groups", &Reply{Groups: []*Groups{{FailureDomain: "a", State: []byte("{")}}}, true, 5},
		{"nothing", &Reply{}, false, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := NewClient(Options{Logger: zap.NewNop()})
			client.tree.Store(h.trees[5])
			err := client.applyReply(c.reply)
			require.Equal(t, c.fails, err != nil, "error: %v", err)
			require.Equal(t, c.want, client.Tree().Revision())
		})
	}
	_, err := NewSource(newFakeState(h, nil)).Serve(t.Context(), "f", []byte{0xff})
	require.Error(t, err)
}

// Guards against groups of one failure domain reverting or hiding those of
// another, and against settings being applied or reported by a groups-only
// client.
func TestGroupsByFailureDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFeed(newHistory(t, 3), 2)
		for i, revisions := range []map[string]uint64{{"a": 3, "b": 1}, {"a": 2, "b": 4}} {
			f.setRevision(i, 3)
			for domain, revision := range revisions {
				f.states[i].groups[domain] = groupsAt(revision)
			}
		}
		f.start(true)
		defer f.stop()
		synctest.Wait()
		f.setFault(0, refusing)
		f.states[0].change(func() { f.states[0].groups["a"] = groupsAt(9) })
		time.Sleep(requestTimeout)
		synctest.Wait()
		f.states[1].change(func() { f.states[1].groups["c"] = groupsAt(0) })
		synctest.Wait()
		require.Equal(t, []uint64{3, 9}, f.appliedGroups("a"))
		require.Equal(t, []uint64{1, 4}, f.appliedGroups("b"))
		require.Equal(t, []uint64{0}, f.appliedGroups("c"), "a new failure domain is passed on even when empty")
		require.Empty(t, f.appliedRevisions())
		require.Empty(t, f.sources[0].Followers(), "a groups-only client has no settings to report")
	})
}

// Guards against a request that omits the revisions that the client has.
func TestRequestContainsClientRevisions(t *testing.T) {
	client := NewClient(Options{Logger: zap.NewNop()})
	client.applyGroups("a", groupsAt(7))
	payload, err := proto.Marshal(client.request(true))
	require.NoError(t, err)
	var got Request
	require.NoError(t, proto.Unmarshal(payload, &got))
	require.Equal(t, map[string]uint64{"a": 7}, got.Groups)
	require.True(t, got.Barrier)
}

// Guards against a daemon that serves its first request before it knows the stored
// verdicts, and against polls without a pause by followers that want none.
func TestVerdictsComeBeforeSettings(t *testing.T) {
	h := newHistory(t, 3)
	f := newTestFeed(h, 1)
	f.newest.Store(3)
	until := time.Unix(2000, 0).UTC()
	digest := quarantine.DigestOf("account", "service", []byte("body"))
	f.states[0].change(func() {
		f.states[0].revision = 3
		f.states[0].verdicts = &quarantine.Stored{Revision: 1, Verdicts: []quarantine.Verdict{{Digest: digest, Until: until}}}
	})
	var order []string
	var stored *quarantine.Stored
	client := NewClient(Options{Sources: []string{"0"}, Send: f.send, Logger: zap.NewNop(),
		OnTree:     func(*settings.Tree) { order = append(order, "settings") },
		OnVerdicts: func(s *quarantine.Stored) { order, stored = append(order, "verdicts"), s },
	})
	require.NoError(t, client.poll(t.Context(), "0"))
	require.Equal(t, []string{"verdicts", "settings"}, order)
	require.Equal(t, map[quarantine.Digest]time.Time{digest: until}, stored.Ends())
	require.Equal(t, uint64(1), client.request(false).GetVerdicts())

	without := NewClient(Options{Sources: []string{"0"}, Send: f.send, Logger: zap.NewNop()})
	require.NoError(t, without.poll(t.Context(), "0"))
	reply, err := f.sources[0].buildReply(without.request(false))
	require.NoError(t, err)
	require.Nil(t, reply, "nothing is newer")
}
