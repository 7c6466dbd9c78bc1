package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/bluebellfield/bluebellfield/admission"
	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

// admitterTest runs an admitter inside a synctest bubble.
type admitterTest struct {
	*admitter
	settings atomic.Pointer[settings.Tree]
	slots    atomic.Int64
	cancel   context.CancelFunc
	callers  sync.WaitGroup
}

func startAdmitter(t require.TestingT, slots int64, ops ...settings.Op) *admitterTest {
	a := &admitterTest{}
	a.settings.Store(testTree(t, ops...))
	a.slots.Store(slots)
	cfg := testConfig()
	a.admitter = newAdmitter(cfg, 1, &fakeNetwork{}, a.settings.Load, zap.NewNop())
	a.liveEntries = func() []string { return nil }
	a.capacity = func(string) admission.Capacity { return admission.Capacity{Slots: int(a.slots.Load())} }
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.callers.Go(func() { a.run(ctx) })
	time.Sleep(time.Second)
	return a
}

func (a *admitterTest) stop() {
	a.cancel()
	a.callers.Wait()
}

func admitRequest(account, service string, left time.Duration) *caller.RequestInfo {
	info := &caller.RequestInfo{RequestID: "r", Deadline: time.Now().Add(left), Tokens: 10}
	info.Account.ID, info.Route.Service = account, service
	return info
}

// counts returns the numbers of queued and running requests, after checking
// that all counters agree.
func (a *admitterTest) counts(t require.TestingT) (waiting, running int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := map[string]int{}
	for _, slots := range []map[admission.Ticket]*slot{a.waiting, a.running} {
		for _, s := range slots {
			held[s.key.service]++
		}
	}
	for service, n := range a.streams {
		require.Equal(t, held[service], n, "streams of %s", service)
	}
	require.Equal(t, a.controller.OpenTickets(), len(a.waiting)+len(a.running), "open tickets")
	return len(a.waiting), len(a.running)
}

// Guards against a long request that is admitted from the queue so late that it
// cannot end before its deadline, and holds a slot until then.
func TestLongRequestsStartInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startAdmitter(t, 1)
		defer a.stop()
		run := func(duration time.Duration) {
			slot, err := a.Admit(t.Context(), admitRequest("rug", "wash", time.Minute))
			require.NoError(t, err)
			time.Sleep(duration)
			slot.Release(caller.Usage{Tokens: 10})
		}
		for range 20 {
			run(time.Second)
		}
		a.callers.Go(func() { run(3 * time.Second) })
		time.Sleep(100 * time.Millisecond)
		short, long := admitRequest("rug", "wash", 5*time.Second), admitRequest("rug", "wash", 5*time.Second)
		short.RequestID, long.RequestID, long.Tokens = "short", "long", 4*short.Tokens
		queued := time.Now()
		a.callers.Go(func() {
			slot, err := a.Admit(t.Context(), short)
			require.NoError(t, err, "a request of the usual size runs 1 s")
			slot.Release(caller.Usage{Tokens: 10})
		})
		_, err := a.Admit(t.Context(), long)
		require.Equal(t, fault.DeadlineExceeded, fault.CodeOf(err))
		require.Less(t, time.Since(queued), 2800*time.Millisecond, "it is told as soon as it is certain")
		time.Sleep(5 * time.Second)
		waiting, running := a.counts(t)
		require.Zero(t, waiting+running)
	})
}

// Guards against a service rejecting every request because its deadline is
// shorter than the assumed run time or than earlier run times.
func TestShortDeadlinesAreAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startAdmitter(t, 1)
		defer a.stop()
		for _, run := range []time.Duration{0, time.Minute, time.Minute} {
			s, err := a.Admit(t.Context(), admitRequest("rug", "wash", 100*time.Millisecond))
			require.NoError(t, err)
			time.Sleep(run)
			s.Release(caller.Usage{})
		}
	})
}

// Guards against a request that is rejected with the wrong code, or that
// holds a slot after its rejection.
func TestAdmitRefusals(t *testing.T) {
	one := setting("/", settings.KeyMaxStreams, settings.Number(1))
	cases := []struct {
		name   string
		ops    []settings.Op
		info   func() *caller.RequestInfo
		before func(*admitterTest)
		code   fault.Code
	}{
		{"unknown service", nil, func() *caller.RequestInfo { return admitRequest("rug", "none", time.Minute) }, nil, fault.NotFound},
		{"removed account", nil, func() *caller.RequestInfo { return admitRequest("gone", "wash", time.Minute) }, nil, fault.NotFound},
		{"removed account, anonymous allowed", []settings.Op{setting("/", settings.KeyAnonymous, settings.Text(settings.CallerFree))},
			func() *caller.RequestInfo { return admitRequest("gone", "wash", time.Minute) }, nil, fault.NotFound},
		{"too many streams", []settings.Op{one}, func() *caller.RequestInfo { return admitRequest("rug", "wash", time.Minute) }, func(a *admitterTest) {
			_, err := a.submit(admitRequest("rug", "wash", time.Minute))
			if err != nil {
				panic(err)
			}
		}, fault.TooManyStreams},
		{"no capacity before the deadline", nil, func() *caller.RequestInfo { return admitRequest("rug", "wash", 100*time.Millisecond) }, func(a *admitterTest) { a.slots.Store(0) }, fault.DeadlineExceeded},
		{"no capacity in time", nil, func() *caller.RequestInfo { return admitRequest("rug", "wash", time.Hour) }, func(a *admitterTest) { a.slots.Store(0) }, fault.QueueTimeout},
		{"past its deadline", nil, func() *caller.RequestInfo { return admitRequest("rug", "wash", -time.Second) }, nil, fault.DeadlineExceeded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := startAdmitter(t, 1, c.ops...)
				defer a.stop()
				if c.before != nil {
					c.before(a)
					time.Sleep(time.Second)
				}
				_, before := a.counts(t)
				_, err := a.Admit(t.Context(), c.info())
				require.Equal(t, c.code, fault.CodeOf(err))
				require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
				waiting, running := a.counts(t)
				require.Zero(t, waiting)
				require.Equal(t, before, running)
			})
		})
	}
}

// Guards against rejecting callers without a known key when the settings
// admit them but do not configure their account.
func TestAnonymousCallersQueue(t *testing.T) {
	for _, key := range []string{settings.KeyAnonymous, settings.KeyUnknownKey} {
		for _, configured := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, configured=%v", key, configured), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ops := []settings.Op{setting("/", key, settings.Text(settings.CallerFree))}
					if configured {
						ops = append(ops, setting("/accounts/"+settings.AnonymousAccount, settings.KeyWeight, settings.Number(1)))
					}
					a := startAdmitter(t, 0, ops...)
					defer a.stop()
					time.AfterFunc(200*time.Millisecond, func() { a.slots.Store(1) })
					s, err := a.Admit(t.Context(), admitRequest(settings.AnonymousAccount, "wash", time.Minute))
					require.NoError(t, err)
					s.Release(caller.Usage{})
					_, running := a.counts(t)
					require.Zero(t, running)
				})
			})
		}
	}
}

// Guards against queued requests of a removed account staying queued, and
// against interrupting its running requests.
func TestRemovedAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startAdmitter(t, 1)
		defer a.stop()
		running, err := a.Admit(t.Context(), admitRequest("visitor", "wash", time.Minute))
		require.NoError(t, err)
		a.slots.Store(0)
		time.Sleep(time.Second)
		time.AfterFunc(time.Second, func() {
			tree, problems := settings.NewTree(append(testOps(), settings.Op{Op: settings.OpDelete, Path: "/accounts/visitor"}))
			require.Empty(t, problems)
			tree, err := settings.Empty().Advance(settings.Record{Revision: 1, Ops: settings.OpsBetween(settings.Empty(), tree)})
			require.NoError(t, err)
			a.settings.Store(tree)
		})
		began := time.Now()
		_, err = a.Admit(t.Context(), admitRequest("visitor", "wash", time.Minute))
		require.Error(t, err)
		require.Less(t, time.Since(began), 2*time.Second)
		_, n := a.counts(t)
		require.Equal(t, 1, n)
		running.Release(caller.Usage{Tokens: 3})
		_, n = a.counts(t)
		require.Zero(t, n)
	})
}

// Guards against a slot that is leaked, or released twice, when the caller
// disconnects just as its request is admitted.
func TestCancelAfterAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startAdmitter(t, 1)
		defer a.stop()
		s, err := a.submit(admitRequest("rug", "wash", time.Minute))
		require.NoError(t, err)
		_, running := a.counts(t)
		require.Equal(t, 1, running)
		s.cancel()
		s.cancel()
		s.Release(caller.Usage{Tokens: 5})
		waiting, running := a.counts(t)
		require.Zero(t, waiting+running)
		require.Zero(t, a.streams["wash"])
	})
}

// Guards against free requests that keep their slots while paying requests
// are queued, and against preempted requests that never get a slot again or
// are counted twice.
func TestPreemption(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprintf("caller leaves=%v", leaves), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := startAdmitter(t, 1)
				defer a.stop()
				free, err := a.Admit(t.Context(), admitRequest("visitor", "wash", time.Minute))
				require.NoError(t, err)
				var paying []caller.Slot
				var done sync.WaitGroup
				for range 3 {
					done.Go(func() {
						s, err := a.Admit(t.Context(), admitRequest("rug", "wash", time.Minute))
						if err == nil {
							a.mu.Lock()
							defer a.mu.Unlock()
							paying = append(paying, s)
						}
					})
				}
				time.Sleep(200 * time.Millisecond)
				select {
				case <-free.Preempted():
				default:
					t.Fatal("the free request was not preempted")
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if leaves {
					time.AfterFunc(100*time.Millisecond, cancel)
				}
				began := time.Now()
				time.AfterFunc(300*time.Millisecond, func() { a.slots.Store(8) })
				err = free.Yield(ctx)
				require.Equal(t, leaves, err != nil)
				require.GreaterOrEqual(t, time.Since(began), 100*time.Millisecond, "the preempted request must wait for a slot")
				done.Wait()
				for _, s := range append(paying, free) {
					s.Release(caller.Usage{Tokens: 5})
				}
				waiting, running := a.counts(t)
				require.Zero(t, waiting+running)
				require.Len(t, paying, 3)
			})
		})
	}
}

// request uses the admitter like a stream: it yields when it is preempted and
// ends when finish is closed.
func (a *admitterTest) request(ctx context.Context, info *caller.RequestInfo, finish <-chan struct{}) {
	ctx, cancel := context.WithDeadline(ctx, info.Deadline)
	defer cancel()
	s, err := a.Admit(ctx, info)
	if err != nil {
		return
	}
	defer s.Release(caller.Usage{Tokens: 5})
	for {
		select {
		case <-finish:
			return
		case <-ctx.Done():
			return
		case <-s.Preempted():
			if s.Yield(ctx) != nil {
				return
			}
		}
	}
}

// Guards against an expired request that keeps its place until the next tick
// although the release of a slot has already rejected it.
func TestExpiredRequestIsDroppedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startAdmitter(t, 1)
		defer a.stop()
		running, err := a.Admit(t.Context(), admitRequest("rug", "wash", time.Minute))
		require.NoError(t, err)
		// The deadline falls between two ticks, and the release follows before
		// the next one.
		const left = admissionTickInterval + admissionTickInterval/2
		a.callers.Go(func() {
			_, err := a.Admit(context.Background(), admitRequest("rug", "wash", left))
			require.Equal(t, fault.DeadlineExceeded, fault.CodeOf(err))
		})
		time.Sleep(left + time.Millisecond)
		running.Release(caller.Usage{})
		synctest.Wait()
		waiting, held := a.counts(t)
		require.Zero(t, waiting+held)
	})
}

// Guards against a leaked slot, stream count or ticket under any order of
// completions, cancellations, preemptions and settings changes.
func TestEverySlotIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			a := startAdmitter(rt, 2)
			defer a.stop()
			var finishes []chan struct{}
			var cancels []context.CancelFunc
			revision := uint64(1)
			for range rapid.IntRange(1, 40).Draw(rt, "steps") {
				switch rapid.IntRange(0, 6).Draw(rt, "step") {
				case 0, 1, 2:
					account := rapid.SampledFrom([]string{"rug", "visitor"}).Draw(rt, "account")
					service := rapid.SampledFrom([]string{"wash", "rug-model"}).Draw(rt, "service")
					left := time.Duration(rapid.IntRange(-1, 20_000).Draw(rt, "left")) * time.Millisecond
					ctx, cancel := context.WithCancel(context.Background())
					finish := make(chan struct{})
					finishes, cancels = append(finishes, finish), append(cancels, cancel)
					a.callers.Go(func() { a.request(ctx, admitRequest(account, service, left), finish) })
				case 3:
					if n := len(finishes); n > 0 {
						close(finishes[0])
						finishes = finishes[1:]
					}
				case 4:
					if n := len(cancels); n > 0 {
						cancels[n-1]()
					}
				case 5:
					a.slots.Store(rapid.Int64Range(0, 4).Draw(rt, "slots"))
				case 6:
					ops := []settings.Op{
						setting("/", settings.KeyQueueSize, settings.Number(float64(rapid.IntRange(1, 8).Draw(rt, "queue")))),
						setting("/", settings.KeyMaxStreams, settings.Number(float64(rapid.IntRange(1, 8).Draw(rt, "streams")))),
						setting("/", settings.KeyMaxConcurrent, settings.Number(float64(rapid.IntRange(0, 3).Draw(rt, "concurrent")))),
					}
					if rapid.Bool().Draw(rt, "remove") {
						ops = append(ops, settings.Op{Op: settings.OpDelete, Path: rapid.SampledFrom([]string{"/accounts/visitor", "/services/wash"}).Draw(rt, "path")})
					}
					tree, err := settings.Empty().Advance(settings.Record{Revision: 1, Ops: append(testOps(), ops...)})
					for next := uint64(2); err == nil && next <= revision; next++ {
						tree, err = tree.Advance(settings.Record{Revision: next})
					}
					require.NoError(rt, err)
					revision++
					a.settings.Store(tree)
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 500).Draw(rt, "wait")) * time.Millisecond)
				synctest.Wait()
				a.counts(rt)
			}
			for _, cancel := range cancels {
				cancel()
			}
			time.Sleep(time.Second)
			synctest.Wait()
			waiting, running := a.counts(rt)
			require.Zero(rt, waiting)
			require.Zero(rt, running)
			for _, service := range []string{"wash", "rug-model"} {
				paying, free := a.controller.Demand(service)
				require.Zero(rt, paying.Queued+paying.Running+free.Queued+free.Running)
			}
		})
	})
}
