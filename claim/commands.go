package claim

import (
	"container/heap"
	"slices"
	"time"
)

// Machine holds all claims. It is not safe for concurrent use.
type Machine struct {
	limits func(account string) Limits
	// clock is the time in Unix milliseconds that determines when records
	// expire. The first command sets it, after that only Expire advances it.
	clock      int64
	records    map[Key]*record
	tombstones map[Key]tombstone
	// released maps released claims to the time until which they are
	// remembered. Until then a Claim command that arrives after its release is
	// fenced.
	released map[releasedClaim]int64
	// fences holds the first valid incarnation of each entry that abandoned
	// earlier ones.
	fences      map[string]fence
	usage       map[string]*accountUsage
	storedBytes int64
	expiry      expiryHeap
}

// record is the state of a key that is running, done or unknown.
type record struct {
	state    State
	usage    *accountUsage
	body     [32]byte
	holder   Holder
	keyTime  int64
	deadline int64
	// expiresAt is when the record changes to its next state.
	expiresAt int64
	answer    *Answer
}

// tombstone records that a key was used after its answer has expired.
type tombstone struct {
	expiresAt int64
	usage     *accountUsage
}

// releasedClaim identifies a claim that its holder has released.
type releasedClaim struct {
	key    Key
	holder Holder
}

// fence rejects claims of incarnations before a given one.
type fence struct {
	before    uint64
	expiresAt int64
}

// accountUsage counts the records and stored bytes of an account.
type accountUsage struct {
	account string
	records int64
	bytes   int64
}

// New returns an empty machine. The function limits returns the limits of an
// account. It must depend only on state that is identical on all daemons.
func New(limits func(account string) Limits) *Machine {
	m := &Machine{limits: limits}
	m.reset()
	return m
}

func (m *Machine) reset() {
	*m = Machine{
		limits:     m.limits,
		records:    map[Key]*record{},
		tombstones: map[Key]tombstone{},
		released:   map[releasedClaim]int64{},
		fences:     map[string]fence{},
		usage:      map[string]*accountUsage{},
	}
}

// Apply executes a command.
func (m *Machine) Apply(c Command) Result {
	if at := unixMillis(commandTime(c)); m.clock == 0 {
		m.clock = at
	}
	switch c := c.(type) {
	case Claim:
		return m.applyClaim(c)
	case Complete:
		return m.applyComplete(c)
	case Release:
		return m.applyRelease(c)
	case Abandon:
		return m.applyAbandon(c)
	case Expire:
		return m.applyExpire(c)
	}
	return Result{Code: Malformed}
}

// commandTime returns the time in a command.
func commandTime(c Command) time.Time {
	switch c := c.(type) {
	case Claim:
		return c.At
	case Complete:
		return c.At
	case Release:
		return c.At
	case Abandon:
		return c.At
	case Expire:
		return c.At
	}
	return time.Time{}
}

func (m *Machine) applyClaim(c Claim) Result {
	if !validHolder(c.Holder) || !validName(c.Account) {
		return Result{Code: Malformed}
	}
	if r, ok := m.records[c.Key]; ok {
		return r.resultFor(c)
	}
	if _, ok := m.tombstones[c.Key]; ok {
		return Result{Code: KeyUsed}
	}
	if _, released := m.released[releasedClaim{c.Key, c.Holder}]; released || c.Holder.Incarnation < m.fences[c.Holder.Entry].before {
		return Result{Code: Fenced}
	}
	if unixMillis(c.At) < m.clock-MaxCommandAge.Milliseconds() {
		return Result{Code: Late}
	}
	if !c.KeyTime.IsZero() && max(unixMillis(c.At), m.clock)-unixMillis(c.KeyTime) > MaxKeyAge.Milliseconds() {
		return Result{Code: KeyExpired}
	}
	u := m.usage[c.Account]
	switch {
	case u != nil && u.records >= m.limits(c.Account).MaxRecords:
		return Result{Code: AccountFull}
	case len(m.records) >= MaxLiveRecords || m.Len() >= MaxRecords:
		return Result{Code: Full}
	case u == nil:
		u = &accountUsage{account: c.Account}
		m.usage[c.Account] = u
	}
	u.records++
	r := &record{state: StateRunning, usage: u, body: c.Body, holder: c.Holder, keyTime: unixMillis(c.KeyTime), deadline: m.boundedDeadline(c)}
	m.records[c.Key] = r
	m.scheduleExpiry(c.Key, r, r.deadline+deadlineGrace.Milliseconds())
	return Result{Code: Granted, Holder: r.holder, Deadline: timeFromMillis(r.deadline)}
}

// boundedDeadline returns the deadline of a claim, limited to maxRunTime.
func (m *Machine) boundedDeadline(c Claim) int64 {
	start := m.effectiveTime(c.At)
	return min(max(unixMillis(c.Deadline), start), start+maxRunTime.Milliseconds())
}

// effectiveTime returns the later of the time of a command and the machine's
// clock, but at most maxClockAdvance after that clock.
func (m *Machine) effectiveTime(at time.Time) int64 {
	return min(max(unixMillis(at), m.clock), m.clock+maxClockAdvance.Milliseconds())
}

// resultFor returns the result of a claim for a key that has a record. A claim
// that is applied again is granted again to the same request, which dispatches
// only once.
func (r *record) resultFor(c Claim) Result {
	if r.body != c.Body {
		return Result{Code: BodyConflict}
	}
	switch r.state {
	case StateDone:
		return Result{Code: Done, Answer: r.answer}
	case StateUnknown:
		return Result{Code: Unknown}
	}
	code := Running
	if r.holder == c.Holder {
		code = Granted
	}
	return Result{Code: code, Holder: r.holder, Deadline: timeFromMillis(r.deadline)}
}

func (m *Machine) applyComplete(c Complete) Result {
	r := m.records[c.Key]
	if r == nil || r.holder != c.Holder {
		return Result{Code: NotHolder}
	}
	if r.state == StateDone {
		return Result{Code: Completed, BodyStored: !r.answer.BodyOmitted}
	}
	if c.Lost {
		if r.state == StateRunning {
			m.markUnknown(c.Key, r)
		}
		return Result{Code: Completed}
	}
	r.state = StateDone
	r.answer = m.storeAnswer(r.usage, c.Answer)
	m.scheduleExpiry(c.Key, r, m.clock+m.limits(r.usage.account).Answers.Milliseconds())
	return Result{Code: Completed, BodyStored: !r.answer.BodyOmitted}
}

// storeAnswer returns a copy of an answer, without the parts that exceed the
// limits, and adds its size to the stored bytes.
func (m *Machine) storeAnswer(u *accountUsage, a Answer) *Answer {
	a.Header = slices.Clone(a.Header)
	a.Body = slices.Clone(a.Body)
	if a.headerSize() > MaxHeaderBytes {
		a.Header = nil
		a.Body, a.BodyOmitted = nil, true
	}
	if a.size() > MaxAnswerBytes || !m.fitsStorage(u, a.size()) {
		a.Body, a.BodyOmitted = nil, true
	}
	if !m.fitsStorage(u, a.size()) {
		a.Header = nil
	}
	u.bytes += a.size()
	m.storedBytes += a.size()
	return &a
}

// fitsStorage reports whether the limits of the account and of the machine
// allow storing size more bytes.
func (m *Machine) fitsStorage(u *accountUsage, size int64) bool {
	return u.bytes+size <= m.limits(u.account).MaxStoredBytes && m.storedBytes+size <= MaxStoredBytes
}

// applyRelease frees the key if the holder has it, and fences a claim of the same
// holder that is committed later, whether or not the holder has the key now. It
// changes nothing if the request has been completed or if too many released claims
// are remembered.
func (m *Machine) applyRelease(c Release) Result {
	if !validHolder(c.Holder) {
		return Result{Code: Malformed}
	}
	r := m.records[c.Key]
	isHolder := r != nil && r.holder == c.Holder
	if isHolder && r.state == StateDone {
		return Result{Code: NotReleasable}
	}
	released := releasedClaim{c.Key, c.Holder}
	if _, known := m.released[released]; !known && len(m.released) >= maxReleasedClaims {
		return Result{Code: Full}
	}
	m.released[released] = m.effectiveTime(c.At) + releaseRetention.Milliseconds()
	if isHolder {
		delete(m.records, c.Key)
		m.releaseUsage(r.usage)
	} else if r != nil {
		return Result{Code: NotHolder}
	}
	return Result{Code: Released}
}

func (m *Machine) applyAbandon(c Abandon) Result {
	if !validName(c.Entry) {
		return Result{Code: Malformed}
	}
	f := m.fences[c.Entry]
	f.before = max(f.before, c.Before)
	f.expiresAt = m.clock + fenceRetention.Milliseconds()
	m.fences[c.Entry] = f
	count := 0
	for key, r := range m.records {
		if r.state == StateRunning && r.holder.Entry == c.Entry && r.holder.Incarnation < c.Before {
			m.markUnknown(key, r)
			count++
		}
	}
	return Result{Code: Abandoned, Count: count}
}

// markUnknown sets the outcome of a running claim to unknown.
func (m *Machine) markUnknown(key Key, r *record) {
	r.state = StateUnknown
	m.scheduleExpiry(key, r, m.clock+m.limits(r.usage.account).Answers.Milliseconds())
}

func (m *Machine) applyExpire(c Expire) Result {
	m.clock = max(m.clock, min(unixMillis(c.At), m.clock+maxClockStep.Milliseconds()))
	count := 0
	for len(m.expiry) > 0 && m.expiry[0].at <= m.clock {
		e := heap.Pop(&m.expiry).(expiry)
		if m.expireKey(e) {
			count++
		}
	}
	for released, expiresAt := range m.released {
		if expiresAt <= m.clock {
			delete(m.released, released)
		}
	}
	for entry, f := range m.fences {
		if f.expiresAt <= m.clock {
			delete(m.fences, entry)
		}
	}
	return Result{Code: Expired, Count: count}
}

// expireKey changes a key to its next state and reports whether it did. It does
// nothing if the expiry is outdated because the key has changed since.
func (m *Machine) expireKey(e expiry) bool {
	if t, ok := m.tombstones[e.key]; ok && t.expiresAt == e.at {
		delete(m.tombstones, e.key)
		m.releaseUsage(t.usage)
		return true
	}
	r := m.records[e.key]
	if r == nil || r.expiresAt != e.at {
		return false
	}
	if r.state == StateRunning {
		m.markUnknown(e.key, r)
		return true
	}
	m.replaceWithTombstone(e.key, r)
	return true
}

// replaceWithTombstone replaces a record with a tombstone. The tombstone of a
// key that encodes its creation time is kept only until the key exceeds
// MaxKeyAge, because it is rejected for its age after that.
func (m *Machine) replaceWithTombstone(key Key, r *record) {
	delete(m.records, key)
	if r.answer != nil {
		r.usage.bytes -= r.answer.size()
		m.storedBytes -= r.answer.size()
	}
	limits := m.limits(r.usage.account)
	expiresAt := r.expiresAt + limits.Tombstones.Milliseconds()
	if r.keyTime != 0 {
		expiresAt = min(expiresAt, r.keyTime+MaxKeyAge.Milliseconds()+1)
	}
	if expiresAt <= m.clock {
		m.releaseUsage(r.usage)
		return
	}
	m.tombstones[key] = tombstone{expiresAt: expiresAt, usage: r.usage}
	heap.Push(&m.expiry, expiry{at: expiresAt, key: key})
}

// releaseUsage subtracts one record from the usage of an account.
func (m *Machine) releaseUsage(u *accountUsage) {
	if u.records--; u.records == 0 {
		delete(m.usage, u.account)
	}
}

func (m *Machine) scheduleExpiry(key Key, r *record, expiresAt int64) {
	r.expiresAt = expiresAt
	heap.Push(&m.expiry, expiry{at: expiresAt, key: key})
}

func validHolder(h Holder) bool { return validName(h.Entry) && validName(h.Request) }
func validName(s string) bool   { return s != "" && len(s) <= maxNameLength }

func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func timeFromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

// expiry is a scheduled state change of a key. The heap may contain outdated
// ones, which expireKey ignores.
type expiry struct {
	at  int64
	key Key
}

type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }

func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
