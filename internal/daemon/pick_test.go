package daemon

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/internal/crashreport"
	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/settings"
)

// pickerTest runs a picker over a real registry inside a synctest bubble.
type pickerTest struct {
	*picker
	tree      *settings.Tree
	groups    map[string]*group.State
	sequences map[string]uint64
	// addresses tells how the network answers a connection; addresses that are
	// not listed refuse it.
	addresses map[string]dialResult
}

// connectTimeout is when a connection attempt to a silent address ends.
const connectTimeout = 3 * time.Second

// dialResult is what becomes of a connection attempt.
type dialResult int

const (
	refusing dialResult = iota
	accepting
	silent
)

func (p *pickerTest) dial(ctx context.Context, address string) (net.Conn, error) {
	switch p.addresses[address] {
	case accepting:
		near, far := net.Pipe()
		return near, far.Close()
	case silent:
		// The transport goes on to connect after the request has ended.
		wait(ctx, nil, connectTimeout)
		return nil, syscall.ETIMEDOUT
	case refusing:
	}
	return nil, syscall.ECONNREFUSED
}

func (p *pickerTest) Tree() *settings.Tree            { return p.tree }
func (p *pickerTest) Groups() map[string]*group.State { return p.groups }

func newPickerTest(t *testing.T, ops ...settings.Op) *pickerTest {
	p := &pickerTest{tree: testTree(t, ops...), groups: map[string]*group.State{}, sequences: map[string]uint64{}, addresses: map[string]dialResult{}}
	cfg := testConfig()
	client := upstream.NewClient(p.dial)
	network := &fakeNetwork{}
	members := newMembers(cfg, 1, network, client, zap.NewNop())
	crashes := newCrashTracker(network, client, members, p.Tree, zap.NewNop())
	crashes.tracker.SetEntries(time.Now(), nil)
	p.picker = newPicker(cfg, 1, p, members, client, crashes, newLimitReporter(cfg, 1, network, members.Live, zap.NewNop()), zap.NewNop())
	return p
}

// report announces an upstream of wash and rug-model and sends a heartbeat.
func (p *pickerTest) report(id string, incarnation uint64, state membership.State, g membership.GroupRef) {
	p.reportFrom("a", id, incarnation, state, g)
}

// reportFrom is report for an upstream of a failure domain.
func (p *pickerTest) reportFrom(domain, id string, incarnation uint64, state membership.State, g membership.GroupRef) {
	now := time.Now()
	p.sequences[id] += 2
	services, kind := []string{"wash"}, membership.PlainService
	if g.Group != "" {
		services, kind = []string{"rug-model"}, membership.ModelEngine
	}
	p.members.registry.Announce(now, membership.Announcement{
		ID: id, Incarnation: incarnation, Address: id + ":1", FailureDomain: domain, Kind: kind, Services: services,
		Models: []membership.Model{{Name: "rug/7b"}}, MaxConcurrent: 8, State: state, Sequence: p.sequences[id] - 1,
	})
	p.members.registry.Heartbeat(now, membership.Heartbeat{
		ID: id, Incarnation: incarnation, Sequence: p.sequences[id], State: state, InForce: g,
	})
	p.publishView()
}

// publishView publishes the view as the membership actor does.
func (p *pickerTest) publishView() {
	p.members.registry.Tick(time.Now())
	p.members.view.Store(p.members.registry.View())
}

func (p *pickerTest) reportReady(ids ...string) {
	for _, id := range ids {
		p.report(id, 1, membership.Ready, membership.GroupRef{})
	}
}

// formGroup puts a group in force, which its members report.
func (p *pickerTest) formGroup(id string, epoch uint64, members ...string) {
	state := group.NewState()
	if old := p.groups["a"]; old != nil {
		for name, g := range old.Groups {
			state.Groups[name] = g
		}
	}
	g := &group.Group{ID: id, Service: "rug-model", Epoch: epoch, Phase: group.Serving}
	for rank, m := range members {
		g.Members = append(g.Members, group.Member{ID: m, Incarnation: 1})
		p.report(m, 1, membership.Ready, membership.GroupRef{Group: id, Epoch: epoch, Rank: rank})
	}
	state.Groups[id] = g
	p.groups["a"] = state
}

func pickRequest(service string, digest byte) *caller.RequestInfo {
	info := admitRequest("rug", service, 5*time.Second)
	info.Digest[0] = digest
	if service == "rug-model" {
		info.Route.Kind, info.Route.Model = membership.ModelEngine, "rug/7b"
	} else {
		info.Route.Kind = membership.PlainService
	}
	return info
}

func (p *pickerTest) mustPick(t *testing.T, info *caller.RequestInfo, tried ...string) *choice {
	c, err := p.Pick(t.Context(), info, len(tried)+1, tried)
	require.NoError(t, err)
	return c.(*choice)
}

// waitUntilStale lets the reports of all upstreams exceed the age limit,
// except of those that report sends. The routing table is last rebuilt while
// the other reports are still within the limit.
func (p *pickerTest) waitUntilStale(report func()) {
	for i := range 4 {
		time.Sleep(membership.DefaultAgeBound * 3 / 10)
		report()
		if i < 3 {
			p.publish(time.Now())
		}
	}
}

// pickedID picks an upstream, completes the attempt and returns the
// upstream's id.
func (p *pickerTest) pickedID(t *testing.T, info *caller.RequestInfo, tried ...string) string {
	c := p.mustPick(t, info, tried...)
	c.Finish(caller.Result{OK: true})
	return c.Target().ID
}

// pickRepeats is the number of repetitions of a pick, since picks are random.
const pickRepeats = 6

// Guards against a dispatch that relies on a routing table older than the
// view: to an upstream that has left, restarted or stopped reporting, or to a
// group that is no longer complete.
func TestPickUsesNewestView(t *testing.T) {
	const grouped, plain = "rug-model", "wash"
	cases := []struct {
		name, service string
		ops           []settings.Op
		change        func(*pickerTest)
	}{
		{"leaving", plain, nil, func(p *pickerTest) { p.report("u1", 1, membership.Leaving, membership.GroupRef{}) }},
		{"draining", plain, nil, func(p *pickerTest) { p.report("u1", 1, membership.Draining, membership.GroupRef{}) }},
		{"restarted", plain, nil, func(p *pickerTest) { p.report("u1", 2, membership.Ready, membership.GroupRef{}) }},
		{"lease lost", plain, nil, func(p *pickerTest) {
			p.waitUntilStale(func() { p.reportReady("u2") })
		}},
		{"older than the service's maximum age", plain, []settings.Op{setting("/", settings.KeyConfirmationMaxAgeMS, settings.Number(1000))}, func(p *pickerTest) {
			time.Sleep(1100 * time.Millisecond)
			p.reportReady("u2")
		}},
		{"member leaves", grouped, nil, func(p *pickerTest) {
			p.report("m1", 1, membership.Leaving, membership.GroupRef{Group: "g1", Epoch: 3, Rank: 1})
		}},
		{"member restarted", grouped, nil, func(p *pickerTest) {
			p.report("m1", 2, membership.Ready, membership.GroupRef{Group: "g1", Epoch: 3, Rank: 1})
		}},
		{"member in another group", grouped, nil, func(p *pickerTest) {
			p.report("m1", 1, membership.Ready, membership.GroupRef{Group: "g9", Epoch: 4})
		}},
		{"member stops reporting", grouped, nil, func(p *pickerTest) {
			p.waitUntilStale(func() {
				p.report("u1", 1, membership.Ready, membership.GroupRef{Group: "g1", Epoch: 3})
				p.formGroup("g2", 3, "u2", "m2")
			})
		}},
		{"group dissolved", grouped, nil, func(p *pickerTest) {
			state := group.NewState()
			state.Groups["g2"] = p.groups["a"].Groups["g2"]
			p.groups["a"] = state
		}},
		{"group formed again", grouped, nil, func(p *pickerTest) { p.formGroup("g1", 4, "u1", "m1") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPickerTest(t, append(c.ops, setting("/services/rug-model", settings.KeyGroupSize, settings.Number(2)))...)
				if c.service == grouped {
					p.formGroup("g1", 3, "u1", "m1")
					p.formGroup("g2", 3, "u2", "m2")
				} else {
					p.reportReady("u1", "u2")
				}
				p.publish(time.Now())
				seen := map[string]bool{}
				for i := range pickRepeats {
					defer p.mustPick(t, pickRequest(c.service, byte(100+i))).Finish(caller.Result{OK: true})
				}
				for _, id := range []string{"u1", "u2"} {
					seen[id] = p.router.Table().Upstream(id).InFlight() > 0
				}
				require.Equal(t, map[string]bool{"u1": true, "u2": true}, seen, "both are in use before the change")
				c.change(p)
				for i := range pickRepeats {
					require.Equal(t, "u2", p.pickedID(t, pickRequest(c.service, byte(i))))
				}
				inForce := membership.GroupRef{}
				if c.service == grouped {
					inForce = membership.GroupRef{Group: "g2", Epoch: 3}
				}
				p.report("u2", 1, membership.Leaving, inForce)
				_, err := p.Pick(t.Context(), pickRequest(c.service, 0), 1, nil)
				require.Equal(t, fault.NoUpstream, fault.CodeOf(err))
				require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
			})
		})
	}
}

// Guards against a retry on the failed upstream while another is available,
// and against no retry at all once every upstream was tried.
func TestTriedUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPickerTest(t)
		p.reportReady("u1", "u2")
		p.publish(time.Now())
		for i := range pickRepeats {
			require.Equal(t, "u2", p.pickedID(t, pickRequest("wash", byte(i)), "u1"))
		}
		p.mustPick(t, pickRequest("wash", 0), "u1", "u2")
	})
}

// Guards against suspects of a crash running concurrently, against an
// isolated run that ends with its caller, and against a suspect that never
// runs.
func TestSuspectsRunIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPickerTest(t)
		p.reportReady("u1")
		p.publish(time.Now())
		first, second := p.mustPick(t, pickRequest("wash", 1)), p.mustPick(t, pickRequest("wash", 2))
		require.False(t, first.OutlivesCaller())
		broken := caller.Result{Broken: true, Err: errors.New("reset")}
		first.Finish(broken)
		second.Finish(broken)
		p.report("u1", 2, membership.Ready, membership.GroupRef{})
		p.publish(time.Now())
		p.tickFor(time.Second)
		alone := p.mustPick(t, pickRequest("wash", 1))
		require.True(t, alone.OutlivesCaller())
		_, err := p.Pick(t.Context(), pickRequest("wash", 2), 1, nil)
		require.Equal(t, fault.NotRun, fault.OutcomeOf(err), "another suspect waits until its deadline")
		p.tickFor(0)
		p.publish(time.Now())
		innocent := p.mustPick(t, pickRequest("wash", 3))
		require.False(t, innocent.OutlivesCaller())
		innocent.Finish(caller.Result{OK: true})
		time.AfterFunc(time.Second, func() { alone.Finish(caller.Result{OK: true}) })
		began := time.Now()
		next := p.mustPick(t, pickRequest("wash", 2))
		require.GreaterOrEqual(t, time.Since(began), time.Second)
		next.Finish(caller.Result{OK: true})
		require.Zero(t, p.router.Table().Upstream("u1").InFlight())
	})
}

// Guards against picks that repeat without a pause until the deadline when
// the only upstream is lost after the request has waited as a suspect.
func TestPickAttemptsBoundedAfterWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPickerTest(t)
		p.reportReady("u1")
		p.publish(time.Now())
		first := p.mustPick(t, pickRequest("wash", 1))
		p.report("u1", 1, membership.Draining, membership.GroupRef{})
		p.reportReady("u2")
		p.publish(time.Now())
		p.report("u2", 1, membership.Leaving, membership.GroupRef{})
		time.AfterFunc((maxPickAttempts+2)*suspectPollInterval, func() { first.Finish(caller.Result{OK: true}) })
		began := time.Now()
		_, err := p.Pick(t.Context(), pickRequest("wash", 1), 1, nil)
		require.Equal(t, fault.NoUpstream, fault.CodeOf(err))
		require.Less(t, time.Since(began), time.Second)
	})
}

// Guards against a suspect that keeps waiting, and keeps its admission slot,
// after its caller has disconnected.
func TestWaitingSuspectStopsWithCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPickerTest(t)
		p.reportReady("u1", "u2")
		p.publish(time.Now())
		first := p.mustPick(t, pickRequest("wash", 1))
		defer first.Finish(caller.Result{OK: true})
		p.report(first.Target().ID, 1, membership.Draining, membership.GroupRef{})
		p.publish(time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		began := time.Now()
		_, err := p.Pick(ctx, pickRequest("wash", 1), 1, nil)
		require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
		require.ErrorIs(t, err, context.Canceled)
		require.Equal(t, time.Second, time.Since(began))
	})
}

// Guards against requests that admission releases for an upstream of which the
// routing table has no report yet: they use up their attempts on picks.
func TestCapacityNeedsRoutableUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPickerTest(t)
		time.Sleep(time.Minute) // the registry is not new
		now := time.Now()
		announced := membership.Announcement{
			ID: "u1", Incarnation: 1, Address: "u1:1", FailureDomain: "a", Kind: membership.PlainService, Services: []string{"wash"},
			MaxConcurrent: 8, State: membership.Ready, Sequence: 1, Features: membership.Features{Echo: true},
		}
		p.members.registry.Announce(now, announced)
		p.publishView()
		p.publish(now)
		p.members.registry.RecordProbe(now, now, announced, membership.Heartbeat{ID: "u1", Incarnation: 1, Sequence: 2, State: membership.Ready})
		p.publishView()
		_, err := p.Pick(t.Context(), pickRequest("wash", 1), 1, nil)
		require.Equal(t, fault.NoUpstream, fault.CodeOf(err))
		require.Zero(t, p.slotCount("wash"))
		p.publish(time.Now())
		require.Equal(t, 8, p.slotCount("wash"))
		require.Equal(t, "u1", p.pickedID(t, pickRequest("wash", 2)))
	})
}

// tickFor ticks quarantine for a duration while upstream u1 keeps its lease.
func (p *pickerTest) tickFor(d time.Duration) {
	for end := time.Now().Add(d); ; time.Sleep(crashreport.BusyInterval) {
		p.crashes.tracker.Tick(time.Now())
		p.report("u1", 2, membership.Ready, membership.GroupRef{})
		if !time.Now().Before(end) {
			return
		}
	}
}

// Guards against cancelled attempts counting as failures of the upstream, and
// against failures that are not counted.
func TestResultsCountAgainstUpstream(t *testing.T) {
	failed := errors.New("failed")
	cases := []struct {
		name    string
		result  caller.Result
		ejected bool
	}{
		{"answered", caller.Result{OK: true}, false},
		{"unreachable", caller.Result{NotRun: true, Err: failed}, true},
		{"cancelled", caller.Result{Cancelled: true, Err: failed}, false},
		{"cancelled while connecting", caller.Result{Cancelled: true, NotRun: true, Err: failed}, false},
		{"failed", caller.Result{Err: failed}, true},
		{"reset", caller.Result{Broken: true, Err: failed}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPickerTest(t)
				p.reportReady("u1", "u2", "u3", "u4")
				p.publish(time.Now())
				for i := range 10 {
					p.mustPick(t, pickRequest("wash", byte(i)), "u2", "u3", "u4").Finish(c.result)
				}
				require.Equal(t, c.ejected, len(p.outliers()) > 0)
				require.Zero(t, p.router.Table().Upstream("u1").InFlight())
			})
		})
	}
}
