package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Requests with a part that crashes upstreams, no two alike, must stop soon after
// the fifth crash, and the requests that share their other parts must be neither
// refused nor blocked forever.
func TestCulpritPartsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		share := rapid.Float64Range(0.02, 0.3).Draw(t, "share of culprits")
		rate := rapid.IntRange(1, 4).Draw(t, "requests per step")
		before := rapid.IntRange(0, 2).Draw(t, "parts before the culprit")
		checkCulpritPart(t, seed, share, rate, before)
	})
}

// Draws of TestCulpritPartsAreBounded that have failed: a verdict took three
// isolated crashes, one after the other, and 5 requests ran in the meantime.
func TestCulpritPartIsStoppedInFailedDraws(t *testing.T) {
	for _, draw := range []struct {
		seed  uint64
		share float64
		rate  int
	}{
		{seed: 0x1e4, share: 0.0390625, rate: 4},
		{seed: 0x39a84ae8be1ba, share: 0.3, rate: 1},
	} {
		t.Run(fmt.Sprint("seed ", draw.seed), func(t *testing.T) { checkCulpritPart(t, draw.seed, draw.share, draw.rate, 2) })
	}
}

func checkCulpritPart(t rapid.TB, seed uint64, share float64, rate, before int) {
	const (
		entries, upstreams, subjects = 7, 24, 6
		// A verdict needs two isolated crashes after the first ones, and each time
		// a report and its reply.
		contact       = 4 * MaxOneWayDelay
		crashes, late = 5, 3
	)
	m := newModel(seed, entries, upstreams)
	system, culprit := PartDigest(modelService, "system"), PartDigest(modelService, "culprit")
	m.culprits[culprit] = true
	for n := 0; n < int(20*time.Second/modelTick); n++ {
		for i := range rate {
			d := digest(fmt.Sprint(n, " ", i))
			parts := []Digest{system, PartDigest(modelService, fmt.Sprint(m.random.IntN(subjects)))}
			if m.random.Float64() < share {
				parts = slices.Insert(parts, before, culprit)
			}
			if m.waiting < 40 {
				m.send(m.random.IntN(entries), d, m.random.IntN(8) == 0, parts...)
			}
		}
		m.step()
	}
	for range int(60 * time.Second / modelTick) {
		if m.step(); m.idle() {
			break
		}
	}
	if len(m.crashes) >= crashes {
		limit, after := m.crashes[crashes-1].at.Add(contact), 0
		for _, at := range m.starts {
			if at.After(limit) {
				after++
			}
		}
		if after > late {
			t.Fatalf("%d requests with the part ran later than %s after the fifth of %d crashes", after, contact, len(m.crashes))
		}
	}
	if len(m.soundRefused) > 0 {
		t.Fatal("a request without the part was refused")
	}
	if m.waiting > 0 {
		t.Fatalf("%d requests are still waiting", m.waiting)
	}
}

// Upstreams that end by themselves must not condemn the parts of the requests that
// run there, not even a part that all requests share and none has completed yet.
func TestEndingUpstreamsCondemnNoPart(t *testing.T) {
	const entries, upstreams, subjects = 7, 24, 6
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), entries, upstreams)
		m.beginTime = time.Duration(rapid.Int64Range(int64(modelTick), int64(time.Second)).Draw(t, "time to progress"))
		endings := rapid.Float64Range(0.05, 0.5).Draw(t, "upstreams that end per step")
		rate := rapid.IntRange(1, 4).Draw(t, "requests per step")
		parts := []Digest{PartDigest(modelService, "system")}
		for i := range subjects {
			parts = append(parts, PartDigest(modelService, fmt.Sprint(i)))
		}
		for n := 0; n < int(20*time.Second/modelTick); n++ {
			for i := range rate {
				if m.waiting < 40 {
					m.send(m.random.IntN(entries), digest(fmt.Sprint(n, " ", i)), false, parts[0], parts[1+m.random.IntN(subjects)])
				}
			}
			if u := m.upstreams[m.random.IntN(upstreams)]; m.random.Float64() < endings && u.backAt.IsZero() {
				m.crash(u, Digest{})
			}
			m.step()
			for _, part := range parts {
				if m.trackers[0].Admit(m.now, digest("new"), part).Action == Refuse {
					t.Fatalf("part %s is refused after %d crashes", part, len(m.crashes))
				}
			}
		}
	})
}

// Of parts that ran together at each crash, only the narrowest must be
// quarantined, and only when no common request explains the crashes: requests
// with the same first part are sound.
func TestNarrowestPartIsQuarantined(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New(Config{Self: "e0"})
	var upstreams []string
	for i := range 6 {
		upstreams = append(upstreams, fmt.Sprint("u", i))
	}
	tracker.SetUpstreams("s", upstreams)
	system, culprit := PartDigest("s", "system"), PartDigest("s", "culprit")
	crash := func(i int, request string) {
		target := Target{upstreams[i], 1}
		_, ok := tracker.Start(now, "s", uint64(i), digest(request), target, system, culprit)
		require.True(t, ok, "%d", i)
		tracker.Crashed(now, target)
	}
	crash(0, "a")
	crash(1, "a")
	crash(2, "a")
	require.Equal(t, Refuse, tracker.Admit(now, digest("a"), system, culprit).Action)
	require.Equal(t, Isolate, tracker.Admit(now, digest("b"), system, culprit).Action, "the request explains the crashes")
	crash(3, "b")
	require.Equal(t, Isolate, tracker.Admit(now, digest("c"), system, culprit).Action, "two requests with the part are not conclusive")
	crash(4, "c")
	require.Equal(t, Refuse, tracker.Admit(now, digest("e"), system, culprit).Action)
	require.Equal(t, Isolate, tracker.Admit(now, digest("d"), system).Action, "the first part is not refused")
	require.Equal(t, Isolate, tracker.Admit(now, digest("d"), system, PartDigest("s", "other")).Action)

	// A request without the culprit clears the first part as soon as it has
	// progressed.
	_, ok := tracker.Start(now, "s", 10, digest("d"), Target{"u5", 1}, system)
	require.True(t, ok)
	require.Equal(t, Wait, tracker.Admit(now, digest("e"), system).Action, "one request with a suspect part at a time")
	tracker.Progressed(now, 10)
	require.Equal(t, Run, tracker.Admit(now, digest("e"), system).Action)
}

// deliver delivers messages from one entry to another, and the replies, until both
// have nothing to send.
func deliver(now time.Time, from, to *Tracker, messages []Message) {
	for len(messages) > 0 {
		var replies []Message
		for _, m := range messages {
			replies = append(replies, to.Merge(now, m)...)
		}
		messages = append(replies, to.Tick(now)...)
		from, to = to, from
	}
}

// A part must be found also if parts that sound requests have too come after it,
// and no sound request has run yet. That one of them waits shows that its part is
// the wider one.
func TestPartBeforeSharedOnesIsQuarantined(t *testing.T) {
	now := time.Unix(1000, 0)
	system, culprit, other := PartDigest("s", "system"), PartDigest("s", "culprit"), PartDigest("s", "other")
	for _, test := range []struct {
		name string
		// crashes lists the parts of the request that causes each crash.
		crashes [][]Digest
	}{
		{"one culprit", [][]Digest{{culprit, system}, {culprit, system}, {culprit, system}, {culprit, system}}},
		{"a request that crashes upstreams as well", [][]Digest{{culprit, system}, {culprit, system}, {culprit, system}, {system, other}, {culprit, system}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			reporting, deciding := New(Config{Self: "a"}), New(Config{Self: "b"})
			var upstreams []string
			for i := range 20 {
				upstreams = append(upstreams, fmt.Sprintf("u%02d", i))
			}
			for _, tracker := range []*Tracker{reporting, deciding} {
				tracker.SetEntries(now, []string{"a", "b"})
				tracker.SetUpstreams("s", upstreams)
			}
			isolated := 0
			for i, parts := range test.crashes {
				reporting.Admit(now, digest("sound"), system, other)
				d := digest(fmt.Sprint("request ", i))
				if reporting.Admit(now, d, parts...).Action == Isolate {
					isolated++
				}
				for _, upstream := range upstreams {
					target := Target{upstream, uint64(i + 1)}
					if _, ok := reporting.Start(now, "s", uint64(i), d, target, parts...); ok {
						deliver(now, reporting, deciding, reporting.Crashed(now, target))
						break
					}
				}
			}
			require.Equal(t, len(test.crashes)-1, isolated)
			for _, tracker := range []*Tracker{reporting, deciding} {
				require.NotEqual(t, Refuse, tracker.Admit(now, digest("sound"), system, other).Action)
				require.Equal(t, Refuse, tracker.Admit(now, digest("new"), culprit, system).Action)
			}
		})
	}
}

// A stream that has progressed when its upstream ends must not wait as a suspect,
// unless that happens to it again: a request may crash upstreams late in its run.
func TestProgressedRequestIsASuspectTheSecondTime(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New(Config{Self: "e0"})
	tracker.SetUpstreams("s", []string{"u1", "u2", "u3", "u4"})
	x, part := digest("x"), PartDigest("s", "part")
	for i, want := range []Action{Run, Isolate, Isolate, Refuse} {
		target := Target{fmt.Sprint("u", i+1), 1}
		_, ok := tracker.Start(now, "s", uint64(i), x, target, part)
		require.True(t, ok)
		tracker.Progressed(now, uint64(i))
		tracker.Crashed(now, target)
		require.Equal(t, want, tracker.Admit(now, x, part).Action, "after %d crashes", i+1)
		require.Equal(t, Run, tracker.Admit(now, digest("y"), part).Action)
	}
}

// Two culprits at the same time must not condemn the part that they have in common
// with all sound requests, even if no sound request has come yet, or if the first
// one was interrupted by an upstream that ended by itself.
func TestTwoCulpritsDoNotCondemnTheirCommonPart(t *testing.T) {
	for _, interrupted := range []bool{false, true} {
		t.Run(fmt.Sprint("a sound request was interrupted: ", interrupted), func(t *testing.T) {
			now := time.Unix(1000, 0)
			tracker := New(Config{Self: "e0"})
			var upstreams []string
			for i := range 13 {
				upstreams = append(upstreams, fmt.Sprint("u", i))
			}
			tracker.SetUpstreams("s", upstreams)
			system, culprit := PartDigest("s", "system"), PartDigest("s", "culprit")
			crash := func(i int, request string, parts ...Digest) {
				target := Target{upstreams[i], 1}
				if _, ok := tracker.Start(now, "s", uint64(i), digest(request), target, parts...); ok {
					tracker.Crashed(now, target)
				}
			}
			if interrupted {
				crash(12, "interrupted", system)
			}
			for i := 0; i < 12; i += 2 {
				crash(i, fmt.Sprint("with the part ", i), system, culprit)
				require.NotEqual(t, Refuse, tracker.Admit(now, digest("sound"), system).Action, "after %d crashes", i+1)
				crash(i+1, "culprit", system)
				require.NotEqual(t, Refuse, tracker.Admit(now, digest("sound"), system).Action, "after %d crashes", i+2)
			}
			require.Equal(t, Refuse, tracker.Admit(now, digest("new"), system, culprit).Action)
			require.Equal(t, Refuse, tracker.Admit(now, digest("culprit"), system).Action)
		})
	}
}

// Guards against waiting for a third isolated crash after several crashes at once:
// requests with a part crash upstreams at several entries before any of these
// knows of the others.
func TestSeveralCrashesAtOnceSpareAnIsolatedOne(t *testing.T) {
	now := time.Unix(1000, 0)
	part := PartDigest("s", "culprit")
	for _, test := range []struct{ atOnce, isolated int }{{1, 3}, {2, 2}, {3, 2}} {
		t.Run(fmt.Sprint(test.atOnce, " at once"), func(t *testing.T) {
			tracker := New(Config{Self: "e0"})
			runs := uint64(0)
			start := func() Target {
				runs++
				target := Target{fmt.Sprint("u", runs), 1}
				_, ok := tracker.Start(now, "s", runs, digest(fmt.Sprint("request ", runs)), target, part)
				require.True(t, ok)
				return target
			}
			var first []Target
			for range test.atOnce {
				first = append(first, start())
			}
			for _, target := range first {
				tracker.Crashed(now, target)
			}
			for range test.isolated {
				require.Equal(t, Isolate, tracker.Admit(now, digest("new"), part).Action)
				tracker.Crashed(now, start())
			}
			require.Equal(t, Refuse, tracker.Admit(now, digest("new"), part).Action)
		})
	}
}

// Guards against blaming a stream for the suspects that begin beside it. Once it
// has progressed it no longer keeps other suspects from its upstream, and the
// crashes that these cause interrupt it each time.
func TestStreamBesideCulpritsIsNotBlamed(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New(Config{Self: "a"})
	stream, streamPart, culprit := digest("stream"), PartDigest("s", "sound"), PartDigest("s", "culprit")
	// The caller of the stream gives up after some attempts.
	const attempts = 4
	crashes := uint64(0)
	for ; tracker.Admit(now, digest("new"), culprit).Action != Refuse; crashes++ {
		require.Less(t, crashes, uint64(10), "the culprit is found")
		target := Target{"u", crashes}
		if crashes < attempts {
			_, ok := tracker.Start(now, "s", 2*crashes, stream, target, streamPart)
			require.True(t, ok, "after %d crashes", crashes)
			tracker.Progressed(now, 2*crashes)
		}
		_, ok := tracker.Start(now, "s", 2*crashes+1, digest(fmt.Sprint("request ", crashes)), target, culprit)
		require.True(t, ok)
		tracker.Crashed(now, target)
		now = now.Add(tracker.cfg.ReportTimeout)
		tracker.Tick(now)
	}
	require.NotEqual(t, Refuse, tracker.Admit(now, stream, streamPart).Action, "after %d crashes", crashes)
}
