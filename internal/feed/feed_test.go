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
	"github.com/bluebellfield/bluebellfield/settings"
)

// history holds every revision of a settings store.
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

// fakeState is a replica at some revision of a history.
type fakeState struct {
	history *history
	newest  func() uint64

	mu       sync.Mutex
	revision uint64
	kept     uint64
	led      bool
	groups   map[string]*group.State
	changed  chan struct{}
}

func newFakeState(h *history, newest func() uint64) *fakeState {
	return &fakeState{history: h, newest: newest, led: true, kept: 1 << 20, changed: make(chan struct{}), groups: map[string]*group.State{}}
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

func (s *fakeState) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *fakeState) Led() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.led
}

func (s *fakeState) Barrier(context.Context) error {
	if !s.Led() {
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

// mishap is what happens to the requests for a source.
type mishap int

const (
	healthy mishap = iota
	refusing
	silent
	losingReplies
	doubling
)

// deployment is several sources of different ages and one client at a time.
type deployment struct {
	sources []*Source
	states  []*fakeState
	newest  atomic.Uint64

	mu      sync.Mutex
	faults  []mishap
	asked   int
	inForce []uint64
	groups  map[string][]uint64

	client *Client
	stop   func()
}

func newDeployment(h *history, sources int) *deployment {
	d := &deployment{faults: make([]mishap, sources)}
	for range sources {
		state := newFakeState(h, d.newest.Load)
		d.states = append(d.states, state)
		d.sources = append(d.sources, NewSource(state))
	}
	return d
}

func (d *deployment) ask(ctx context.Context, source string, payload []byte) ([]byte, error) {
	i := int(source[0] - '0')
	d.mu.Lock()
	d.asked++
	f := d.faults[i]
	d.mu.Unlock()
	switch f {
	case refusing:
		return nil, errors.New("connection refused")
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case doubling:
		if _, err := d.sources[i].Serve(ctx, "c", payload); err != nil {
			return nil, err
		}
	}
	reply, err := d.sources[i].Serve(ctx, "c", payload)
	if f == losingReplies {
		return nil, errors.New("connection broke")
	}
	return reply, err
}

// start runs a new client, which has nothing.
func (d *deployment) start(groupsOnly bool) {
	var names []string
	for i := range d.sources {
		names = append(names, fmt.Sprint(i))
	}
	d.inForce, d.groups = nil, map[string][]uint64{}
	d.client = NewClient(Options{
		Sources: names, Ask: d.ask, GroupsOnly: groupsOnly, Logger: zap.NewNop(),
		OnTree: func(t *settings.Tree) { d.mu.Lock(); defer d.mu.Unlock(); d.inForce = append(d.inForce, t.Revision()) },
		OnGroups: func(domain string, state *group.State) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.groups[domain] = append(d.groups[domain], state.Revision)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { d.client.Run(ctx) })
	d.stop = func() { cancel(); done.Wait() }
}

// putInForce returns the revisions that the present client put in force.
func (d *deployment) putInForce() []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.inForce)
}

// groupsInForce returns the revisions of the groups of a failure domain.
func (d *deployment) groupsInForce(domain string) []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.groups[domain])
}

func (d *deployment) questions() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asked
}

func (d *deployment) setFault(i int, f mishap) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults[i] = f
}

func (d *deployment) setRevision(i int, revision uint64) {
	d.states[i].change(func() { d.states[i].revision = revision })
}

func (d *deployment) isCurrent() bool {
	select {
	case <-d.client.Current():
		return true
	default:
		return false
	}
}

// Guards against settings that revert, or that stay old for good, whatever the
// ages and failures of the sources and the restarts of the client.
func TestRevisionNeverDecreases(t *testing.T) {
	const revisions = 30
	h := newHistory(t, revisions)
	synctest.Test(t, func(t *testing.T) {
		// rapid asks a *testing.T for its deadline, which a bubble forbids.
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			d := newDeployment(h, 3)
			d.start(false)
			defer func() { d.stop() }()
			// floor is the newest revision that was in force when the client
			// started.
			floor, highest := uint64(0), uint64(0)
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				i := rapid.IntRange(0, 2).Draw(t, "source")
				switch rapid.IntRange(0, 6).Draw(t, "step") {
				case 0, 1:
					d.newest.Store(min(d.newest.Load()+1, revisions))
				case 2:
					d.setRevision(i, rapid.Uint64Range(d.states[i].Tree().Revision(), d.newest.Load()).Draw(t, "revision"))
				case 3:
					d.setFault(i, mishap(rapid.IntRange(0, 4).Draw(t, "fault")))
				case 4:
					led := rapid.Bool().Draw(t, "led")
					d.states[i].change(func() { d.states[i].led = led })
				case 5:
					d.states[i].change(func() { d.states[i].kept = uint64(rapid.IntRange(0, 5).Draw(t, "kept")) })
				case 6:
					d.stop()
					highest = max(highest, d.client.Tree().Revision())
					floor = highest
					d.start(false)
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond)
				synctest.Wait()
				require.True(t, slices.IsSorted(d.putInForce()), "in force: %v", d.putInForce())
				if d.isCurrent() {
					require.GreaterOrEqual(t, d.client.Tree().Revision(), floor)
				}
			}
			for i := range d.states {
				d.setFault(i, healthy)
				d.states[i].change(func() { d.states[i].led, d.states[i].revision = true, d.newest.Load() })
			}
			time.Sleep(time.Minute)
			synctest.Wait()
			require.Equal(t, d.newest.Load(), d.client.Tree().Revision())
			require.True(t, d.isCurrent())
			require.True(t, slices.IsSorted(d.putInForce()), "in force: %v", d.putInForce())
		})
	})
}

// Guards against a client that stays with a source that cannot serve it.
func TestClientLeavesFailedSource(t *testing.T) {
	cases := []struct {
		name string
		fail func(*deployment)
	}{
		{"refuses", func(d *deployment) { d.setFault(0, refusing) }},
		{"is silent", func(d *deployment) { d.setFault(0, silent) }},
		{"loses replies", func(d *deployment) { d.setFault(0, losingReplies) }},
		{"has no leader", func(d *deployment) { d.states[0].change(func() { d.states[0].led = false }) }},
	}
	for _, c := range cases {
		for _, when := range []string{"from the start", "later"} {
			t.Run(c.name+" "+when, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newDeployment(newHistory(t, 5), 2)
					d.newest.Store(2)
					if when == "from the start" {
						c.fail(d)
					}
					d.start(false)
					defer d.stop()
					time.Sleep(time.Second)
					c.fail(d)
					d.newest.Store(4)
					d.setRevision(1, 4)
					time.Sleep(2 * askTimeout)
					synctest.Wait()
					require.Equal(t, uint64(4), d.client.Tree().Revision())
					source, err := d.client.Source()
					require.NoError(t, err)
					require.Equal(t, "1", source)
				})
			})
		}
	}
}

// Guards against a first answer from a source that is not proven current.
func TestFirstAnswerNeedsBarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(newHistory(t, 5), 1)
		d.newest.Store(5)
		d.setRevision(0, 2)
		d.states[0].led = false
		d.start(false)
		defer d.stop()
		time.Sleep(time.Minute)
		require.False(t, d.isCurrent())
		require.Zero(t, d.client.Tree().Revision())
		_, err := d.client.Source()
		require.Error(t, err)
		d.states[0].change(func() { d.states[0].led = true })
		time.Sleep(time.Second)
		require.True(t, d.isCurrent())
		require.Equal(t, []uint64{5}, d.putInForce(), "only the proven revision may be put in force")
	})
}

// Guards against a held question that waits for its time limit although there
// is something newer, and against one that is answered when there is nothing.
func TestHeldQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(newHistory(t, 5), 1)
		d.start(false)
		defer d.stop()
		time.Sleep(time.Second)
		asked := d.questions()
		time.Sleep(holdTime / 2)
		require.Equal(t, asked, d.questions(), "the question must be held")
		began := time.Now()
		d.setRevision(0, 3)
		synctest.Wait()
		require.Equal(t, uint64(3), d.client.Tree().Revision())
		require.Zero(t, time.Since(began), "the change must be answered at once")
		d.states[0].change(func() { d.states[0].groups["a"] = groupsAt(1) })
		synctest.Wait()
		require.Equal(t, []uint64{1}, d.groupsInForce("a"))
		require.Equal(t, uint64(3), d.sources[0].Followers()[0].Revision, "the question tells what is in force")
	})
}

// Guards against answers in the wrong form: records that are not kept, or more
// of them than a tree is worth.
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
		{"as many as an answer may hold", 1, maxRecords + 1, 1 << 20, false},
		{"more than an answer may hold", 1, maxRecords + 2, 1 << 20, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := newFakeState(h, nil)
			state.revision, state.kept = c.revision, c.kept
			reply, err := NewSource(state).Answer(t.Context(), "f", &Request{Revision: c.have})
			require.NoError(t, err)
			require.Equal(t, c.tree, len(reply.Tree) > 0)
			require.Equal(t, !c.tree, len(reply.Records) > 0)
			client := NewClient(Options{Logger: zap.NewNop()})
			client.tree.Store(h.trees[c.have])
			require.NoError(t, client.apply(reply))
			require.Equal(t, c.revision, client.Tree().Revision())
			require.NoError(t, client.apply(reply), "a doubled answer changes nothing")
			require.Equal(t, c.revision, client.Tree().Revision())
		})
	}
}

// Guards against answers that were made for another revision, late or damaged,
// being put in force in part.
func TestUnfitAnswers(t *testing.T) {
	h := newHistory(t, 10)
	answer := func(have, revision uint64, kept uint64) *Reply {
		state := newFakeState(h, nil)
		state.revision, state.kept = revision, kept
		reply, err := NewSource(state).Answer(t.Context(), "f", &Request{Revision: have})
		require.NoError(t, err)
		return reply
	}
	cases := []struct {
		name  string
		reply *Reply
		fails bool
		want  uint64
	}{
		{"older tree", answer(0, 4, 0), false, 5},
		{"older records", answer(0, 4, 10), false, 5},
		{"records that overlap", answer(3, 8, 10), false, 8},
		{"records with a gap", answer(7, 9, 10), true, 5},
		{"damaged tree", &Reply{Tree: []byte("{")}, true, 5},
		{"damaged records", &Reply{Records: []byte("{")}, true, 5},
		{"damaged groups", &Reply{Groups: []*Groups{{FailureDomain: "a", State: []byte("{")}}}, true, 5},
		{"nothing", &Reply{}, false, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := NewClient(Options{Logger: zap.NewNop()})
			client.tree.Store(h.trees[5])
			err := client.apply(c.reply)
			require.Equal(t, c.fails, err != nil, "error: %v", err)
			require.Equal(t, c.want, client.Tree().Revision())
		})
	}
	_, err := NewSource(newFakeState(h, nil)).Serve(t.Context(), "f", []byte{0xff})
	require.Error(t, err)
}

// Guards against groups of one failure domain going back or hiding those of
// another, and against settings in a feed of groups.
func TestGroupsByFailureDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(newHistory(t, 3), 2)
		for i, revisions := range []map[string]uint64{{"a": 3, "b": 1}, {"a": 2, "b": 4}} {
			d.setRevision(i, 3)
			for domain, revision := range revisions {
				d.states[i].groups[domain] = groupsAt(revision)
			}
		}
		d.start(true)
		defer d.stop()
		synctest.Wait()
		d.setFault(0, refusing)
		d.states[0].change(func() { d.states[0].groups["a"] = groupsAt(9) })
		time.Sleep(askTimeout)
		synctest.Wait()
		d.states[1].change(func() { d.states[1].groups["c"] = groupsAt(0) })
		synctest.Wait()
		require.Equal(t, []uint64{3, 9}, d.groupsInForce("a"))
		require.Equal(t, []uint64{1, 4}, d.groupsInForce("b"))
		require.Equal(t, []uint64{0}, d.groupsInForce("c"), "an unknown domain is passed on even when empty")
		require.Empty(t, d.putInForce())
		require.Empty(t, d.sources[0].Followers(), "a follower of groups has no settings in force")
	})
}

// Guards against a request that does not say what the client has.
func TestRequestNamesWhatTheClientHas(t *testing.T) {
	client := NewClient(Options{Logger: zap.NewNop()})
	client.applyGroups("a", groupsAt(7))
	payload, err := proto.Marshal(client.request(true))
	require.NoError(t, err)
	var got Request
	require.NoError(t, proto.Unmarshal(payload, &got))
	require.Equal(t, map[string]uint64{"a": 7}, got.Groups)
	require.True(t, got.Barrier)
}
