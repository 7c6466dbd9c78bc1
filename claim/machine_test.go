package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	start      = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	testLimits = Limits{Answers: 2 * time.Hour, Tombstones: 48 * time.Hour, MaxRecords: 100, MaxStoredBytes: 1 << 20}
)

func newMachine() *Machine { return New(func(string) Limits { return testLimits }) }

// simulation applies commands to a machine and tracks the results that entries
// have received.
type simulation struct {
	t       *rapid.T
	m       *Machine
	now     time.Time
	log     []Command
	request int
	// incarnations holds the current incarnation of each entry, fenced its first
	// one that is not abandoned.
	incarnations map[string]uint64
	fenced       map[string]uint64
	// openClaims holds the granted and not released requests of each key, and
	// grantedAt when the last one was granted.
	openClaims map[Key]map[Holder]bool
	grantedAt  map[Key]time.Time
	// released holds the requests whose release was confirmed.
	released map[Holder]bool
	// delayed holds claims that were sent but have not arrived.
	delayed []Claim
}

// apply applies a command. It checks that command and result survive encoding,
// and that a command does not change the record of another holder.
func (s *simulation) apply(c Command) Result {
	decoded, err := Decode(Encode(c))
	require.NoError(s.t, err)
	require.Equal(s.t, c, decoded)
	s.log = append(s.log, c)
	var before Record
	key, holder, targeted := targetOf(c)
	if targeted {
		before, _ = s.m.Lookup(key)
	}
	r := s.m.Apply(c)
	encoded, err := DecodeResult(EncodeResult(r))
	require.NoError(s.t, err)
	require.Equal(s.t, r, encoded)
	if after, _ := s.m.Lookup(key); targeted && before.Holder != holder {
		require.Equal(s.t, before, after, "a command of another holder changed the record")
		require.NotContains(s.t, []Code{Completed}, r.Code)
	}
	return r
}

func targetOf(c Command) (Key, Holder, bool) {
	switch c := c.(type) {
	case Complete:
		return c.Key, c.Holder, true
	case Release:
		return c.Key, c.Holder, true
	}
	return Key{}, Holder{}, false
}

func (s *simulation) claim(c Claim) {
	r := s.apply(c)
	if r.Code != Granted {
		return
	}
	require.False(s.t, s.released[c.Holder], "granted to a request that released its claim")
	require.GreaterOrEqual(s.t, c.Holder.Incarnation, s.fenced[c.Holder.Entry], "granted to an abandoned incarnation")
	if len(s.openClaims[c.Key]) > 0 && !s.openClaims[c.Key][c.Holder] {
		age := s.m.Clock().Sub(s.grantedAt[c.Key])
		require.Greater(s.t, age, testLimits.Tombstones, "granted twice")
		require.True(s.t, c.KeyTime.IsZero(), "an old key was granted twice")
		s.openClaims[c.Key] = nil
	}
	if s.openClaims[c.Key] == nil {
		s.openClaims[c.Key] = map[Holder]bool{}
	}
	if !s.openClaims[c.Key][c.Holder] {
		s.grantedAt[c.Key] = s.m.Clock()
	}
	s.openClaims[c.Key][c.Holder] = true
}

func (s *simulation) release(c Release) {
	code := s.apply(c).Code
	if code == Released || code == NotHolder {
		s.released[c.Holder] = true
	}
	if code == Released {
		delete(s.openClaims[c.Key], c.Holder)
	}
}

// newClaim draws a claim for a new request. Odd keys encode a creation time.
func (s *simulation) newClaim() Claim {
	key := rapid.IntRange(0, 3).Draw(s.t, "key")
	entry := rapid.SampledFrom([]string{"e1", "e2"}).Draw(s.t, "entry")
	s.request++
	c := Claim{
		Key: Key{byte(key)}, Account: fmt.Sprint("a", key%2), Holder: Holder{entry, s.incarnations[entry], fmt.Sprint("r", s.request)},
		Deadline: s.now.Add(time.Minute), At: s.now,
	}
	if key%2 == 1 {
		c.KeyTime = start.Add(-time.Hour)
	}
	return c
}

// sentClaims returns the claims that were sent so far.
func (s *simulation) sentClaims() []Claim {
	var out []Claim
	for _, c := range s.log {
		if c, ok := c.(Claim); ok {
			out = append(out, c)
		}
	}
	return out
}

func (s *simulation) step() {
	switch action := rapid.IntRange(0, 12).Draw(s.t, "action"); action {
	case 0, 1, 2:
		s.claim(s.newClaim())
	case 3, 4, 5, 6:
		sent := s.sentClaims()
		if len(sent) == 0 {
			return
		}
		c := rapid.SampledFrom(sent).Draw(s.t, "sent")
		switch {
		case action == 3:
			s.claim(c)
		case action == 4 && !s.released[c.Holder]:
			s.apply(Complete{Key: c.Key, Holder: c.Holder, Answer: Answer{Status: 200, Body: []byte(c.Holder.Request)}, At: s.now})
		case action == 5:
			s.apply(Complete{Key: c.Key, Holder: c.Holder, Lost: true, At: s.now})
		case action == 6:
			s.release(Release{Key: c.Key, Holder: c.Holder, At: s.now})
		}
	case 7:
		// The release may arrive before its claim.
		s.delayed = append(s.delayed, s.newClaim())
		if c := s.delayed[len(s.delayed)-1]; rapid.Bool().Draw(s.t, "release") {
			s.release(Release{Key: c.Key, Holder: c.Holder, At: s.now})
		}
	case 10:
		if len(s.delayed) > 0 {
			s.claim(s.delayed[0])
			s.delayed = s.delayed[1:]
		}
	case 8:
		entry := rapid.SampledFrom([]string{"e1", "e2"}).Draw(s.t, "entry")
		s.incarnations[entry]++
		s.fenced[entry] = s.incarnations[entry]
		s.apply(Abandon{Entry: entry, Before: s.incarnations[entry], At: s.now})
	case 9:
		data := s.m.Snapshot()
		s.m = newMachine()
		require.NoError(s.t, s.m.Restore(data))
		require.Equal(s.t, data, s.m.Snapshot())
	default:
		s.advance(rapid.SampledFrom([]time.Duration{time.Second, 2 * time.Minute, 3 * time.Hour, 51 * time.Hour}).Draw(s.t, "pass"))
	}
}

// advance advances the time, while the leader sends Expire.
func (s *simulation) advance(d time.Duration) {
	end := s.now.Add(d)
	for s.now.Before(end) {
		s.now = s.now.Add(min(maxClockStep, end.Sub(s.now)))
		c := Expire{At: s.now}
		s.log = append(s.log, c)
		s.m.Apply(c)
	}
}

// Guards against a key that is granted twice, a released claim that is granted
// again or still blocks its key, a claim that is changed by another request, and
// a snapshot that differs from the state after replay of the log.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, m: newMachine(), now: start, incarnations: map[string]uint64{}, fenced: map[string]uint64{},
			openClaims: map[Key]map[Holder]bool{}, grantedAt: map[Key]time.Time{}, released: map[Holder]bool{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.step()
			s.check()
		}
		replay := newMachine()
		for _, c := range s.log {
			replay.Apply(c)
		}
		require.Equal(t, replay.Snapshot(), s.m.Snapshot())
	})
}

func (s *simulation) check() {
	total, stored := int64(0), int64(0)
	for _, account := range []string{"a0", "a1"} {
		records, bytes := s.m.AccountUsage(account)
		total += records
		stored += bytes
	}
	require.Equal(s.t, int64(s.m.Len()), total)
	require.Equal(s.t, s.m.Stats().StoredBytes, stored)
	for key, open := range s.openClaims {
		record, found := s.m.Lookup(key)
		if len(open) > 0 && s.m.Clock().Sub(s.grantedAt[key]) < MaxKeyAge-time.Hour {
			require.True(s.t, found, "the record of a granted key is lost")
		}
		if len(open) == 0 && found {
			require.NotContains(s.t, []State{StateRunning, StateDone}, record.State, "a released key has a record")
		}
	}
}

// step is a command with its expected result code. The steps of a test case are
// applied to one machine in order.
type step struct {
	c    Command
	want Code
}

func testClaim(request string, change func(*Claim)) Claim {
	c := Claim{Key: Key{1}, Account: "a", Holder: Holder{"e", 1, request}, Deadline: start.Add(time.Minute), At: start}
	if change != nil {
		change(&c)
	}
	return c
}

// Guards against wrong results for conflicting, repeated, reordered and late
// commands, also if the machine is restored from a snapshot after each step.
func TestMachineFaults(t *testing.T) {
	first := testClaim("1", nil)
	second := testClaim("2", nil)
	done := Complete{Key: Key{1}, Holder: first.Holder, Answer: Answer{Status: 201, Body: []byte("ok")}, At: start}
	release := Release{Key: Key{1}, Holder: first.Holder, At: start}
	expire := func(after time.Duration) []step {
		var out []step
		for at := time.Duration(0); at < after; at += maxClockStep {
			out = append(out, step{Expire{At: start.Add(at + maxClockStep)}, Expired})
		}
		return out
	}
	later := func(c Claim, after time.Duration) Claim {
		c.At = start.Add(after)
		return c
	}
	other := testClaim("3", func(c *Claim) { c.Body = [32]byte{9} })
	cases := map[string][]step{
		"running":                           {{first, Granted}, {second, Running}, {first, Granted}},
		"done":                              {{first, Granted}, {done, Completed}, {second, Done}, {first, Done}},
		"other body":                        {{first, Granted}, {other, BodyConflict}, {done, Completed}, {other, BodyConflict}},
		"lost":                              {{first, Granted}, {Complete{Key: Key{1}, Holder: first.Holder, Lost: true}, Completed}, {second, Unknown}, {done, Completed}, {second, Done}},
		"lost after done":                   {{first, Granted}, {done, Completed}, {Complete{Key: Key{1}, Holder: first.Holder, Lost: true}, Completed}, {second, Done}},
		"release":                           {{first, Granted}, {release, Released}, {second, Granted}, {release, NotHolder}, {first, Running}},
		"released claim repeated":           {{first, Granted}, {release, Released}, {first, Fenced}, {second, Granted}},
		"release overtakes":                 {{release, Released}, {first, Fenced}, {second, Granted}},
		"release of a done claim":           {{first, Granted}, {done, Completed}, {release, NotReleasable}, {second, Done}},
		"release by another":                {{first, Granted}, {Release{Key: Key{1}, Holder: second.Holder}, NotHolder}, {second, Running}, {release, Released}, {second, Fenced}},
		"complete by another":               {{first, Granted}, {Complete{Key: Key{1}, Holder: second.Holder}, NotHolder}, {second, Running}},
		"complete without claim":            {{done, NotHolder}},
		"abandon":                           {{first, Granted}, {Abandon{Entry: "e", Before: 2, At: start}, Abandoned}, {second, Unknown}, {done, Completed}, {second, Done}},
		"abandon of another entry":          {{first, Granted}, {Abandon{Entry: "f", Before: 2, At: start}, Abandoned}, {second, Running}},
		"claim of an abandoned incarnation": {{Abandon{Entry: "e", Before: 2, At: start}, Abandoned}, {first, Fenced}},
		"deadline passes":                   append(append([]step{{first, Granted}}, expire(3*time.Minute)...), step{later(second, 3*time.Minute), Unknown}),
		"answer expires":                    append(append([]step{{first, Granted}, {done, Completed}}, expire(3*time.Hour)...), step{later(second, 3*time.Hour), KeyUsed}),
		"late claim":                        append(expire(11*time.Minute), step{first, Late}),
		"one wrong clock":                   {{first, Granted}, {Expire{At: start.AddDate(1, 0, 0)}, Expired}, {second, Running}},
		"old key after its answer": append(append(append(append([]step{{oldKey("1", 0), Granted}, {done, Completed}}, expire(125*time.Minute)...),
			step{oldKey("2", 125*time.Minute), KeyUsed}), expire(160*time.Minute)...), step{oldKey("3", 160*time.Minute), KeyExpired}),
		"old key":                      {{testClaim("1", func(c *Claim) { c.KeyTime = start.Add(-25 * time.Hour) }), KeyExpired}},
		"young key":                    {{testClaim("1", func(c *Claim) { c.KeyTime = start.Add(-23 * time.Hour) }), Granted}},
		"key of the future":            {{testClaim("1", func(c *Claim) { c.KeyTime = start.Add(time.Hour) }), Granted}},
		"no request id":                {{testClaim("", nil), Malformed}},
		"long account":                 {{testClaim("1", func(c *Claim) { c.Account = fmt.Sprintf("%065d", 1) }), Malformed}},
		"release without entry":        {{Release{Key: Key{1}}, Malformed}},
		"account full, another is not": accountFullSteps(),
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			m, restored := newMachine(), newMachine()
			for i, s := range steps {
				require.Equal(t, s.want.String(), m.Apply(s.c).Code.String(), "step %d: %+v", i, s.c)
				require.Equal(t, s.want.String(), restored.Apply(s.c).Code.String(), "step %d after a restart: %+v", i, s.c)
				data := restored.Snapshot()
				restored = newMachine()
				require.NoError(t, restored.Restore(data))
			}
		})
	}
}

// oldKey returns a claim whose key reaches MaxKeyAge 150 minutes after start.
func oldKey(request string, after time.Duration) Claim {
	return testClaim(request, func(c *Claim) {
		c.At = start.Add(after)
		c.KeyTime = start.Add(150*time.Minute - MaxKeyAge)
	})
}

func accountFullSteps() []step {
	var steps []step
	for i := range testLimits.MaxRecords {
		steps = append(steps, step{testClaim("1", func(c *Claim) { c.Key = Key{2, byte(i)} }), Granted})
	}
	return append(steps, step{testClaim("1", nil), AccountFull}, step{testClaim("1", func(c *Claim) { c.Account = "b" }), Granted})
}

// Guards against an unlimited total of live records if no account reaches its
// own limit.
func TestTotalBound(t *testing.T) {
	m := New(func(string) Limits { return Limits{MaxRecords: 1 << 40} })
	claim := func(i int) Code {
		return m.Apply(testClaim("1", func(c *Claim) { c.Key = Key{byte(i), byte(i >> 8), byte(i >> 16)} })).Code
	}
	for i := range MaxLiveRecords {
		require.Equal(t, Granted, claim(i))
	}
	require.Equal(t, Full, claim(MaxLiveRecords))
}

// Guards against stored answers that exceed the storage limits, and against a
// repeated request that is not told that it was executed if the body of the
// answer was not stored.
func TestStoredAnswers(t *testing.T) {
	m := newMachine()
	put := func(key byte, a Answer) Result {
		c := testClaim("1", func(c *Claim) { c.Key = Key{key} })
		require.Equal(t, Granted, m.Apply(c).Code)
		return m.Apply(Complete{Key: c.Key, Holder: c.Holder, Answer: a, At: start})
	}
	header := []Field{{"Content-Type", "text/plain"}}
	require.True(t, put(0, Answer{Status: 200, Header: header, Body: make([]byte, MaxAnswerBytes-22)}).BodyStored)
	require.False(t, put(1, Answer{Status: 200, Header: header, Body: make([]byte, MaxAnswerBytes)}).BodyStored)
	r := m.Apply(testClaim("2", func(c *Claim) { c.Key = Key{1} }))
	require.Equal(t, &Answer{Status: 200, Header: header, BodyOmitted: true}, r.Answer)
	stored := 1
	for i := byte(2); i < 30; i++ {
		if put(i, Answer{Status: 200, Body: make([]byte, MaxAnswerBytes)}).BodyStored {
			stored++
		}
	}
	_, bytes := m.AccountUsage("a")
	// The stored headers of answer 1 leave no space for a 16th body.
	require.Equal(t, 15, stored)
	require.LessOrEqual(t, bytes, testLimits.MaxStoredBytes)
}

// Guards against a creation time for keys that do not encode one.
func TestKeyTime(t *testing.T) {
	for key, want := range map[string]time.Time{
		"017f22e2-79b0-7cc3-98c4-dc0c0c07398f":  time.Date(2022, 2, 22, 19, 22, 22, 0, time.UTC),
		"01ARZ3NDEKTSV4RRFFQ69G5FAV":            time.Date(2016, 7, 30, 23, 54, 10, 259e6, time.UTC),
		"01arz3ndektsv4rrffq69g5fav":            time.Date(2016, 7, 30, 23, 54, 10, 259e6, time.UTC),
		"017f22e2-79b0-4cc3-98c4-dc0c0c07398f":  {},
		"017f22e2-79b0-7cc3-18c4-dc0c0c07398f":  {},
		"017f22e2-79b0-7cc3-98c4-dc0c0c07398g":  {},
		"00000000-0000-7000-8000-000000000000":  {},
		"81ARZ3NDEKTSV4RRFFQ69G5FAV":            {},
		"01ARZ3NDEKTSV4RRFFQ69G5FAU":            {},
		"00000000000000000000000000":            {},
		"order-7":                               {},
		"":                                      {},
		"é17f22e2-79b0-7cc3-98c4-dc0c0c07398f7": {},
	} {
		require.Equal(t, want, KeyTime(key), key)
	}
}

// Guards against a panic or a partial restore on corrupt data.
func TestDamagedEncodings(t *testing.T) {
	m := newMachine()
	c := testClaim("1", nil)
	m.Apply(c)
	m.Apply(Complete{Key: c.Key, Holder: c.Holder, Answer: Answer{Status: 200, Header: []Field{{"A", "b"}}, Body: []byte("x")}, At: start})
	m.Apply(testClaim("2", func(c *Claim) { c.Key = Key{2} }))
	m.Apply(Release{Key: Key{3}, Holder: c.Holder, At: start})
	m.Apply(Abandon{Entry: "e", Before: 1, At: start})
	want := m.Snapshot()
	for n := range len(want) {
		require.Error(t, m.Restore(want[:n]), "%d bytes", n)
	}
	require.Error(t, m.Restore(append([]byte{9}, want...)))
	require.Equal(t, want, m.Snapshot())
	for n, data := 0, Encode(c); n < len(data); n++ {
		_, err := Decode(data[:n])
		require.Error(t, err, "%d bytes", n)
	}
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		if c, err := Decode(data); err == nil {
			newMachine().Apply(c)
		}
		_, _ = DecodeResult(data)
		_ = newMachine().Restore(data)
	})
}
