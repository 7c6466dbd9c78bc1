package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellfield/bluebellfield/claim"
	"github.com/bluebellfield/bluebellfield/globalstate"
	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/feed"
)

// ending is what becomes of a proposal.
type ending int

const (
	applied ending = iota
	// notProposed is proven not to be applied, ever.
	notProposed
	// lost is neither applied nor answered.
	lost
	// unanswered is applied, but its result is lost.
	unanswered
	// late is applied after later proposals, and its result is lost.
	late
)

// fakeGlobal is the global log with its lookups. Proposals end as next says.
type fakeGlobal struct {
	machine *globalstate.Machine

	mu      sync.Mutex
	index   uint64
	next    func() ending
	held    [][]byte
	lookups error
}

func (g *fakeGlobal) apply(command []byte) []byte {
	g.index++
	return g.machine.Apply(g.index, command)
}

// applyHeld applies the proposals that are late.
func (g *fakeGlobal) applyHeld() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, command := range g.held {
		g.apply(command)
	}
	g.held = nil
}

func (g *fakeGlobal) call(_ context.Context, _, channel string, payload []byte) ([]byte, error) {
	if channel == channelClaim {
		return g.lookup(payload)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.next() {
	case notProposed:
		return nil, networkFault(fault.NotRun)
	case lost:
		return nil, networkFault(fault.Unknown)
	case unanswered:
		g.apply(payload)
		return nil, networkFault(fault.Unknown)
	case late:
		g.held = append(g.held, payload)
		return nil, networkFault(fault.Unknown)
	}
	return g.apply(payload), nil
}

// lookup answers at once, except that it holds the question about a running
// claim, as a voter does.
func (g *fakeGlobal) lookup(payload []byte) ([]byte, error) {
	var req feed.LookupRequest
	if err := proto.Unmarshal(payload, &req); err != nil {
		return nil, err
	}
	record, found := g.machine.Lookup(claim.Key(req.Key))
	if record.State == claim.StateRunning {
		time.Sleep(lookupHold)
		record, found = g.machine.Lookup(claim.Key(req.Key))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lookups != nil {
		return nil, g.lookups
	}
	return encodeLookup(record, found)
}

// endings returns a function that yields the endings in turn, then applied.
func endings(list ...ending) func() ending {
	return func() ending {
		if len(list) == 0 {
			return applied
		}
		first := list[0]
		list = list[1:]
		return first
	}
}

func newFakeGlobal(list ...ending) *fakeGlobal {
	return &fakeGlobal{machine: globalstate.New(), next: endings(list...)}
}

func (g *fakeGlobal) claims(entry string, incarnation uint64) *claims {
	network := &fakeNetwork{call: g.call}
	return &claims{
		global: &globalClient{cfg: testConfig(), network: network}, local: &logs{}, entry: entry, incarnation: incarnation, logger: zap.NewNop(),
	}
}

func claimID(holder string) caller.ClaimID {
	return caller.ClaimID{Account: "rug", Route: "wash", Key: "k", Holder: holder}
}

var orderBody = [32]byte{1}

func (g *fakeGlobal) record() (claim.State, bool) {
	r, found := g.machine.Lookup(keyOf(claimID("")))
	return r.State, found
}

// withDeadline returns a context as requests have it.
func withDeadline(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a claim whose result is lost blocking the key for good, or
// being granted without anyone to run it.
func TestClaimWithoutResult(t *testing.T) {
	cases := []struct {
		name    string
		endings []ending
		// released says that a release must be recorded.
		released bool
	}{
		{"not proposed", []ending{notProposed, notProposed, notProposed}, false},
		{"lost", []ending{lost}, true},
		{"applied without a result", []ending{unanswered}, true},
		{"late", []ending{late}, true},
		{"lost, and its release at first", []ending{lost, notProposed, notProposed, notProposed, lost, unanswered}, true},
		{"late, and its release too", []ending{late, late, lost}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFakeGlobal(c.endings...)
				entry := g.claims("e1", 1)
				_, _, err := entry.Claim(withDeadline(t), claimID("r1"), orderBody)
				require.Equal(t, fault.NotRun, fault.OutcomeOf(err), "the request is never dispatched")
				require.Equal(t, fault.ClaimUnavailable, fault.CodeOf(err))
				entry.settling.Wait()
				g.applyHeld()
				require.Equal(t, c.released, g.index > 0)
				_, found := g.record()
				require.False(t, found, "the key must be free")
				state, _, err := g.claims("e2", 1).Claim(withDeadline(t), claimID("r2"), orderBody)
				require.NoError(t, err)
				require.Equal(t, caller.ClaimGranted, state)
			})
		})
	}
}

// Guards against a resend that gets another answer than the first request, or
// a second run.
func TestResend(t *testing.T) {
	header := http.Header{"Content-Type": {"text/plain"}}
	cases := []struct {
		name    string
		end     func(*claims)
		state   caller.ClaimState
		answer  caller.Answer
		outcome fault.Outcome
	}{
		{"answered", func(c *claims) {
			c.Complete(claimID("r1"), &caller.Answer{Status: 201, Header: header, Body: []byte("cut")})
		}, caller.ClaimDone, caller.Answer{Status: 201, Header: header, Body: []byte("cut"), Stored: true}, ""},
		{"answer too large", func(c *claims) {
			c.Complete(claimID("r1"), &caller.Answer{Status: 200, Body: []byte(strings.Repeat("x", claim.MaxAnswerBytes+1))})
		}, caller.ClaimDone, caller.Answer{Status: 200, Header: http.Header{}}, ""},
		{"outcome lost", func(c *claims) { c.Complete(claimID("r1"), nil) }, caller.ClaimUnknown, caller.Answer{}, ""},
		{"not run", func(c *claims) { c.Release(claimID("r1")) }, 0, caller.Answer{}, fault.NotRun},
		{"entry restarted", func(c *claims) {
			restarted := &claims{global: c.global, local: c.local, entry: c.entry, incarnation: 2, logger: c.logger}
			restarted.abandonEarlier(context.Background())
		}, caller.ClaimUnknown, caller.Answer{}, ""},
		{"still running", func(*claims) {}, 0, caller.Answer{}, fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFakeGlobal()
				first, second := g.claims("e1", 1), g.claims("e2", 1)
				state, _, err := first.Claim(withDeadline(t), claimID("r1"), orderBody)
				require.NoError(t, err)
				require.Equal(t, caller.ClaimGranted, state)
				state, _, err = second.Claim(withDeadline(t), claimID("r2"), orderBody)
				require.NoError(t, err)
				require.Equal(t, caller.ClaimRunning, state)
				// The record is written although the log fails at first.
				g.next = endings(notProposed, lost, unanswered)
				var ended sync.WaitGroup
				ended.Go(func() {
					time.Sleep(time.Second)
					c.end(first)
				})
				g.lookups = networkFault(fault.NotRun)
				time.AfterFunc(500*time.Millisecond, func() {
					g.mu.Lock()
					defer g.mu.Unlock()
					g.lookups = nil
				})
				state, answer, err := second.Await(withDeadline(t), claimID("r2"), orderBody)
				ended.Wait()
				first.settling.Wait()
				if c.outcome != "" {
					require.Equal(t, c.outcome, fault.OutcomeOf(err))
					return
				}
				require.NoError(t, err)
				require.Equal(t, c.state, state)
				require.Equal(t, c.answer, answer)
				state, again, err := second.Claim(withDeadline(t), claimID("r3"), orderBody)
				require.NoError(t, err)
				require.Equal(t, c.state, state)
				require.Equal(t, c.answer, again)
				_, _, err = second.Claim(withDeadline(t), claimID("r4"), [32]byte{2})
				require.Equal(t, fault.KeyConflict, fault.CodeOf(err))
				require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
			})
		})
	}
}

// Guards against a key that is too old to prove anything being run again.
func TestOldKeyIsRefused(t *testing.T) {
	id := claimID("r1")
	id.Key = "01890a5d-ac96-774b-bcce-b302099a8057" // a UUIDv7 of 2023
	_, _, err := newFakeGlobal().claims("e1", 1).Claim(withDeadline(t), id, orderBody)
	require.Equal(t, fault.KeyExpired, fault.CodeOf(err))
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
}

// Guards against a request that runs twice under one key, and against a key
// that stays blocked, whatever becomes of the proposals.
func TestAtMostOneRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			plan := rapid.SliceOfN(rapid.SampledFrom([]ending{applied, applied, notProposed, lost, unanswered, late}), 0, 30).Draw(rt, "endings")
			g := newFakeGlobal(plan...)
			entries := []*claims{g.claims("e1", 1), g.claims("e2", 1)}
			runs := 0
			for i := range rapid.IntRange(1, 8).Draw(rt, "requests") {
				entry := entries[rapid.IntRange(0, 1).Draw(rt, "entry")]
				id := claimID(fmt.Sprintf("r%d", i))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				state, _, err := entry.Claim(ctx, id, orderBody)
				cancel()
				if err == nil && state == caller.ClaimGranted {
					switch rapid.IntRange(0, 2).Draw(rt, "run") {
					case 0:
						entry.Release(id)
					case 1:
						runs++
						entry.Complete(id, &caller.Answer{Status: 200})
					case 2:
						runs++
						entry.Complete(id, nil)
					}
				}
				if rapid.Bool().Draw(rt, "late") {
					g.applyHeld()
				}
				if rapid.Bool().Draw(rt, "wait") {
					time.Sleep(time.Second)
				}
			}
			for _, e := range entries {
				e.settling.Wait()
			}
			g.applyHeld()
			require.LessOrEqual(rt, runs, 1)
			state, found := g.record()
			require.Equal(rt, runs == 1, found, "state %s", state)
			require.NotEqual(rt, claim.StateRunning, state)
		})
	})
}
