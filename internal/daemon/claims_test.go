package daemon

import (
	"context"
	"fmt"
	"net/http"
	"slices"
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

// proposalResult is the simulated result of a proposal.
type proposalResult int

const (
	applied proposalResult = iota
	// notProposed fails with proof that the proposal will never be applied.
	notProposed
	// dropped is neither applied nor answered.
	dropped
	// resultLost is applied, but its result is lost.
	resultLost
	// delayed is applied after later proposals, and its result is lost.
	delayed
)

// fakeGlobal simulates the global log and its lookups. nextResult returns the
// result of the next proposal.
type fakeGlobal struct {
	machine *globalstate.Machine

	mu               sync.Mutex
	index            uint64
	nextResult       func() proposalResult
	delayedProposals [][]byte
	lookupErr        error
}

func (g *fakeGlobal) apply(command []byte) []byte {
	g.index++
	return g.machine.Apply(g.index, command)
}

// applyDelayed applies the delayed proposals.
func (g *fakeGlobal) applyDelayed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, command := range g.delayedProposals {
		g.apply(command)
	}
	g.delayedProposals = nil
}

func (g *fakeGlobal) call(_ context.Context, _, channel string, payload []byte) ([]byte, error) {
	if channel == channelClaim {
		return g.lookup(payload)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.nextResult() {
	case notProposed:
		return nil, networkFault(fault.NotRun)
	case dropped:
		return nil, networkFault(fault.Unknown)
	case resultLost:
		g.apply(payload)
		return nil, networkFault(fault.Unknown)
	case delayed:
		g.delayedProposals = append(g.delayedProposals, payload)
		return nil, networkFault(fault.Unknown)
	}
	return g.apply(payload), nil
}

// lookup replies at once, but delays the reply for a running claim as a voter
// does.
func (g *fakeGlobal) lookup(payload []byte) ([]byte, error) {
	var req feed.LookupRequest
	if err := proto.Unmarshal(payload, &req); err != nil {
		return nil, err
	}
	record, found := g.machine.Lookup(claim.Key(req.Key))
	if record.State == claim.StateRunning {
		time.Sleep(lookupPollTimeout)
		record, found = g.machine.Lookup(claim.Key(req.Key))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lookupErr != nil {
		return nil, g.lookupErr
	}
	return encodeLookup(record, found)
}

// resultSequence returns a function that yields the given results in turn,
// then applied.
func resultSequence(list ...proposalResult) func() proposalResult {
	return func() proposalResult {
		if len(list) == 0 {
			return applied
		}
		first := list[0]
		list = list[1:]
		return first
	}
}

func newFakeGlobal(list ...proposalResult) *fakeGlobal {
	return &fakeGlobal{machine: globalstate.New(), nextResult: resultSequence(list...)}
}

func (g *fakeGlobal) newClaimer(entry string, incarnation uint64) *claimer {
	network := &fakeNetwork{call: g.call}
	return &claimer{
		global: &globalClient{cfg: testConfig(), network: network}, logs: &hostedLogs{}, entry: entry, incarnation: incarnation, logger: zap.NewNop(),
	}
}

func claimID(holder string) caller.ClaimID {
	return caller.ClaimID{Account: "rug", Route: "wash", Key: "k", Holder: holder}
}

var orderBody = [32]byte{1}

func (g *fakeGlobal) record() (claim.State, bool) {
	r, found := g.machine.Lookup(claimKey(claimID("")))
	return r.State, found
}

// withDeadline returns a context with a request deadline.
func withDeadline(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a claim whose result is lost blocking its key permanently,
// or staying granted although no request runs under it.
func TestClaimWithoutResult(t *testing.T) {
	cases := []struct {
		name    string
		results []proposalResult
		// released means that a release must be recorded.
		released bool
	}{
		{"not proposed", []proposalResult{notProposed, notProposed, notProposed}, false},
		{"dropped", []proposalResult{dropped}, true},
		{"applied without a result", []proposalResult{resultLost}, true},
		{"delayed", []proposalResult{delayed}, true},
		{"dropped, and its release at first", []proposalResult{dropped, notProposed, notProposed, notProposed, dropped, resultLost}, true},
		{"delayed, and its release too", []proposalResult{delayed, delayed, dropped}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFakeGlobal(c.results...)
				entry := g.newClaimer("e1", 1)
				_, _, err := entry.Claim(withDeadline(t), claimID("r1"), orderBody)
				require.Equal(t, fault.NotRun, fault.OutcomeOf(err), "the request is never dispatched")
				require.Equal(t, fault.ClaimUnavailable, fault.CodeOf(err))
				entry.pendingRecords.Wait()
				g.applyDelayed()
				require.Equal(t, c.released, g.index > 0)
				_, found := g.record()
				require.False(t, found, "the key must be free")
				state, _, err := g.newClaimer("e2", 1).Claim(withDeadline(t), claimID("r2"), orderBody)
				require.NoError(t, err)
				require.Equal(t, caller.ClaimGranted, state)
			})
		})
	}
}

// Guards against an answer that its caller gets before it is recorded: if the entry
// ends then, a resend is told that the outcome is unknown. An answer is not held back
// for long while the log cannot be reached.
func TestAnswerIsRecordedFirst(t *testing.T) {
	for _, test := range []struct {
		name     string
		failures int
		recorded bool
	}{
		{"at once", 0, true},
		{"after two failures", 2, true},
		{"log out of reach", 1000, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFakeGlobal()
				entry := g.newClaimer("e1", 1)
				state, _, err := entry.Claim(withDeadline(t), claimID("r1"), orderBody)
				require.NoError(t, err)
				require.Equal(t, caller.ClaimGranted, state)
				g.nextResult = resultSequence(slices.Repeat([]proposalResult{notProposed}, test.failures)...)
				started := time.Now()
				entry.Complete(claimID("r1"), &caller.RecordedAnswer{Status: 200})
				require.LessOrEqual(t, time.Since(started), recordWait)
				record, found := g.record()
				require.True(t, found)
				require.Equal(t, test.recorded, record == claim.StateDone)
				entry.pendingRecords.Wait()
			})
		})
	}
}

// Guards against a resent request that gets a different answer than the first
// one, or that runs a second time.
func TestResend(t *testing.T) {
	header := http.Header{"Content-Type": {"text/plain"}}
	cases := []struct {
		name    string
		end     func(*claimer)
		state   caller.ClaimState
		answer  caller.RecordedAnswer
		outcome fault.Outcome
	}{
		{"answered", func(c *claimer) {
			c.Complete(claimID("r1"), &caller.RecordedAnswer{Status: 201, Header: header, Body: []byte("cut")})
		}, caller.ClaimDone, caller.RecordedAnswer{Status: 201, Header: header, Body: []byte("cut"), Stored: true}, ""},
		{"answer too large", func(c *claimer) {
			c.Complete(claimID("r1"), &caller.RecordedAnswer{Status: 200, Body: []byte(strings.Repeat("x", claim.MaxAnswerBytes+1))})
		}, caller.ClaimDone, caller.RecordedAnswer{Status: 200, Header: http.Header{}}, ""},
		{"outcome lost", func(c *claimer) { c.Complete(claimID("r1"), nil) }, caller.ClaimUnknown, caller.RecordedAnswer{}, ""},
		{"not run", func(c *claimer) { c.Release(claimID("r1")) }, 0, caller.RecordedAnswer{}, fault.NotRun},
		{"entry restarted", func(c *claimer) {
			restarted := &claimer{global: c.global, logs: c.logs, entry: c.entry, incarnation: 2, logger: c.logger}
			restarted.abandonPreviousClaims(context.Background())
		}, caller.ClaimUnknown, caller.RecordedAnswer{}, ""},
		{"still running", func(*claimer) {}, 0, caller.RecordedAnswer{}, fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFakeGlobal()
				first, second := g.newClaimer("e1", 1), g.newClaimer("e2", 1)
				state, _, err := first.Claim(withDeadline(t), claimID("r1"), orderBody)
				require.NoError(t, err)
				require.Equal(t, caller.ClaimGranted, state)
				state, _, err = second.Claim(withDeadline(t), claimID("r2"), orderBody)
				require.NoError(t, err)
				require.Equal(t, caller.ClaimRunning, state)
				// The result is recorded although the first proposals
				// fail.
				g.nextResult = resultSequence(notProposed, dropped, resultLost)
				var ended sync.WaitGroup
				ended.Go(func() {
					time.Sleep(time.Second)
					c.end(first)
				})
				g.lookupErr = networkFault(fault.NotRun)
				time.AfterFunc(500*time.Millisecond, func() {
					g.mu.Lock()
					defer g.mu.Unlock()
					g.lookupErr = nil
				})
				state, answer, err := second.Await(withDeadline(t), claimID("r2"), orderBody)
				ended.Wait()
				first.pendingRecords.Wait()
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

// Guards against running a request whose key is older than the records kept.
func TestOldKeyIsRefused(t *testing.T) {
	id := claimID("r1")
	id.Key = "01890a5d-ac96-774b-bcce-b302099a8057" // a UUIDv7 of 2023
	_, _, err := newFakeGlobal().newClaimer("e1", 1).Claim(withDeadline(t), id, orderBody)
	require.Equal(t, fault.KeyExpired, fault.CodeOf(err))
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
}

// Guards against two runs under one key, and against a key that stays
// blocked, for any results of the proposals.
func TestAtMostOneRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			plan := rapid.SliceOfN(rapid.SampledFrom([]proposalResult{applied, applied, notProposed, dropped, resultLost, delayed}), 0, 30).Draw(rt, "results")
			g := newFakeGlobal(plan...)
			entries := []*claimer{g.newClaimer("e1", 1), g.newClaimer("e2", 1)}
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
						entry.Complete(id, &caller.RecordedAnswer{Status: 200})
					case 2:
						runs++
						entry.Complete(id, nil)
					}
				}
				if rapid.Bool().Draw(rt, "apply delayed") {
					g.applyDelayed()
				}
				if rapid.Bool().Draw(rt, "wait") {
					time.Sleep(time.Second)
				}
			}
			for _, e := range entries {
				e.pendingRecords.Wait()
			}
			g.applyDelayed()
			require.LessOrEqual(rt, runs, 1)
			state, found := g.record()
			require.Equal(rt, runs == 1, found, "state %s", state)
			require.NotEqual(rt, claim.StateRunning, state)
		})
	})
}
