package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/enginemodel"
)

func engine() *enginemodel.Engine {
	return &enginemodel.Engine{Slots: 26, Stride: 6, Chunk: 2048, Step: 6450 * time.Microsecond, PerSequence: 97 * time.Microsecond,
		PerContext: 3 * time.Microsecond, ReadRate: 56100, PairTime: 309 * time.Microsecond, MeanPromptTokens: 1115, MeanAnswerTokens: 152,
		Models: []enginemodel.Model{{Name: "m", GroupSize: 6, TimeFactor: 1}}}
}

func costs() EngineCosts {
	e := engine()
	return EngineCosts{Engine: e, Model: e.Model("m"), BaselineLatency: 150 * time.Millisecond}
}

func request() Request {
	return Request{PromptTokens: 1115, AnswerTokens: 152, Remaining: 6 * time.Second, Objective: 400 * time.Millisecond}
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func candidate(running float64) Candidate { return Candidate{Running: running, Slots: 26, Local: true} }

// Guards against refusing or deferring a request while a group has a free slot.
func TestFreeSlotIsUsed(t *testing.T) {
	for running := range 26 {
		d := Choose(random(), costs(), request(), []Candidate{candidate(60), candidate(float64(running))})
		require.Equal(t, 1, d.Index, "%d running", running)
		require.False(t, d.Deferred)
	}
}

// Guards against timely requests that wait behind deferred ones. This happened
// when callers retried after an outage.
func TestDeferredRequestsGiveWay(t *testing.T) {
	full := candidate(34)
	d := Choose(random(), costs(), request(), []Candidate{full})
	require.Negative(t, d.Index, "the objective cannot be met behind 34 other requests")
	full.Deferred = 9
	d = Choose(random(), costs(), request(), []Candidate{full})
	require.Equal(t, 0, d.Index)
	require.False(t, d.Deferred)
}

// Guards against late requests that queue behind all others until they time
// out, and against refusing callers that retry after an outage although the
// queue is short enough.
func TestFewLateRequestsQueue(t *testing.T) {
	late, fresh := request(), request()
	late.Objective = -time.Second
	full := candidate(35)
	require.Negative(t, Choose(random(), costs(), fresh, []Candidate{full}).Index)
	d := Choose(random(), costs(), late, []Candidate{full})
	require.Equal(t, 0, d.Index)
	require.True(t, d.Deferred)
	full.Deferred = 7
	d = Choose(random(), costs(), late, []Candidate{full})
	require.Negative(t, d.Index)
	require.Equal(t, ReasonFull, d.Reason)
	require.Positive(t, d.RetryAfter)
	require.LessOrEqual(t, d.RetryAfter, maxRetryAfter)
}

// Guards against refusing a stream that lost its group although another group
// could complete it in time.
func TestPartlyRunRequestsMayQueue(t *testing.T) {
	partlyRun := request()
	partlyRun.Objective, partlyRun.PartlyRun = -time.Second, true
	d := Choose(random(), costs(), partlyRun, []Candidate{candidate(40)})
	require.Equal(t, 0, d.Index)
	require.True(t, d.Deferred)
	partlyRun.Remaining = 500 * time.Millisecond
	require.Negative(t, Choose(random(), costs(), partlyRun, []Candidate{candidate(60)}).Index)
}

// Guards against putting the rest of a stream behind all new requests: its caller
// leaves after a pause, and what was generated is lost.
func TestDeliveringStreamsAreNotDeferred(t *testing.T) {
	rest := request()
	rest.Objective, rest.PartlyRun, rest.Delivering = -time.Second, true, true
	d := Choose(random(), costs(), rest, []Candidate{candidate(40)})
	require.Equal(t, 0, d.Index)
	require.False(t, d.Deferred)
	// Deferred requests do not delay it.
	full := candidate(40)
	full.Deferred = 15
	require.Zero(t, Choose(random(), costs(), rest, []Candidate{full}).Wait)
}

// Guards against refusing a request that missed its objective while a slot is
// free.
func TestLateRequestUsesFreeSlot(t *testing.T) {
	late := request()
	late.Objective = -time.Second
	d := Choose(random(), costs(), late, []Candidate{candidate(10)})
	require.Equal(t, 0, d.Index)
	require.True(t, d.Deferred)
}

// Guards against queueing a request that cannot complete before it times out.
func TestRequestWithoutEnoughTimeIsRefused(t *testing.T) {
	short := request()
	short.Remaining = 500 * time.Millisecond
	d := Choose(random(), costs(), short, []Candidate{candidate(60), candidate(70)})
	require.Negative(t, d.Index)
	require.Equal(t, ReasonFull, d.Reason)
	require.Positive(t, d.Wait)
}

// Guards against selecting excluded or avoided candidates while others remain,
// and against refusing a request when only avoided ones are left.
func TestAvoidedCandidatesAreUsedLast(t *testing.T) {
	avoided, tried, good := candidate(0), candidate(0), candidate(20)
	avoided.Avoided, tried.Excluded = true, true
	for range 50 {
		require.Equal(t, 2, Choose(random(), costs(), request(), []Candidate{avoided, tried, good}).Index)
	}
	require.Equal(t, 0, Choose(random(), costs(), request(), []Candidate{avoided, tried}).Index)
	d := Choose(random(), costs(), request(), []Candidate{tried})
	require.Negative(t, d.Index)
	require.Equal(t, ReasonNoUpstream, d.Reason)
}

// Guards against sending more requests to an upstream than the limit that it has
// named, and against telling callers that there is no upstream, or to return in
// vain, when all are at their limits.
func TestLimitedCandidatesAreLeftOut(t *testing.T) {
	limited, busy := candidate(0), candidate(20)
	limited.LimitedFor = 700 * time.Millisecond
	for range 50 {
		require.Equal(t, 1, Choose(random(), costs(), request(), []Candidate{limited, busy}).Index)
	}
	later := limited
	later.LimitedFor = 900 * time.Millisecond
	d := Choose(random(), costs(), request(), []Candidate{later, limited})
	require.Negative(t, d.Index)
	require.Equal(t, ReasonLimited, d.Reason)
	require.Equal(t, 700*time.Millisecond, d.RetryAfter)
	limited.Excluded = true
	require.Equal(t, ReasonNoUpstream, Choose(random(), costs(), request(), []Candidate{limited}).Reason)
}

// Guards against unnecessary traffic between failure domains, and against
// keeping requests in a failure domain whose groups are full.
func TestPrefersItsFailureDomain(t *testing.T) {
	local, remote := candidate(12), candidate(12)
	remote.Local = false
	random := random()
	for range 50 {
		require.Equal(t, 0, Choose(random, costs(), request(), []Candidate{local, remote}).Index)
	}
	local.Running = 34
	require.Equal(t, 1, Choose(random, costs(), request(), []Candidate{local, remote}).Index)
}

// Guards against ignoring the prompt tokens that wait for prefill.
func TestQueuedPromptTokensCount(t *testing.T) {
	busy, idle := candidate(10), candidate(11)
	busy.QueuedPromptTokens = 12000
	random := random()
	for range 50 {
		require.NotEqual(t, 0, Choose(random, costs(), request(), []Candidate{busy, idle, idle, idle}).Index)
	}
}

// Guards against groups with a slow member receiving a full share of the
// requests, as in the recorded day of docs/incidents/slow-groups.md, and
// against leaving them idle while all others are full.
func TestSlowGroupsAreUsedLast(t *testing.T) {
	slow := candidate(2)
	slow.SlowdownFactor = 4
	random := random()
	for range 50 {
		require.Equal(t, 1, Choose(random, costs(), request(), []Candidate{slow, candidate(24)}).Index)
	}
	d := Choose(random, costs(), request(), []Candidate{slow, candidate(60)})
	require.Equal(t, 0, d.Index)
}

// Guards against all entries sending to the group with the lowest load in the
// last report. An entry must assume that the others send as much as it does.
func TestOtherEntriesAreAssumedToSendAsMuch(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var tracker Tracker
	tracker.Report(now, 20)
	require.InDelta(t, 20, tracker.Estimate(now, 7, 26, time.Second).Running, 0.01)
	tracker.Send()
	require.InDelta(t, 27, tracker.Estimate(now, 7, 26, time.Second).Running, 0.01)
	// After half of the occupancy, half of the reported requests have ended.
	require.InDelta(t, 17, tracker.Estimate(now.Add(500*time.Millisecond), 7, 26, time.Second).Running, 0.01)
	// Without a recent report, the others are assumed to have as many requests as
	// this entry.
	require.InDelta(t, 7, tracker.Estimate(now.Add(2*time.Second), 7, 26, time.Second).Running, 0.01)
	tracker.End()
	require.Zero(t, tracker.Estimate(now.Add(2*time.Second), 7, 26, time.Second).Running)
}
