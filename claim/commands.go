package claim

import (
	"container/heap"
	"slices"
	"time"
)

// Machine holds all claims. It is not safe for concurrent use.
type Machine struct {
	limits func(account string) Limits
	// clock is the time by which records expire, in milliseconds. Only Expire
	// moves it.
	clock   int64
	records map[Key]*record
	tombs   map[Key]tombstone
	// marks remembers released holders until no claim of theirs can follow.
	marks map[mark]int64
	// fences holds the first valid incarnation of each entry that abandoned
	// earlier ones.
	fences map[string]fence
	usage  map[string]*usage
	bytes  int64
	expiry expiryHeap
}

type record struct {
	state    State
	use      *usage
	body     [32]byte
	holder   Holder
	keyTime  int64
	deadline int64
	// due is when the record changes by expiry.
	due    int64
	answer *Answer
}

type tombstone struct {
	due int64
	use *usage
}

type mark struct {
	key    Key
	holder Holder
}

type fence struct {
	before uint64
	due    int64
}

// usage counts what is kept for an account.
type usage struct {
	account string
	records int64
	bytes   int64
}

// New returns an empty machine. Limits gives the limits of an account; it must
// depend only on state that is the same on every daemon.
func New(limits func(account string) Limits) *Machine {
	m := &Machine{limits: limits}
	m.clear()
	return m
}

func (m *Machine) clear() {
	*m = Machine{
		limits:  m.limits,
		records: map[Key]*record{},
		tombs:   map[Key]tombstone{},
		marks:   map[mark]int64{},
		fences:  map[string]fence{},
		usage:   map[string]*usage{},
	}
}

// Apply decides a command.
func (m *Machine) Apply(c Command) Result {
	if at := millis(commandTime(c)); m.clock == 0 {
		m.clock = at
	}
	switch c := c.(type) {
	case Claim:
		return m.claim(c)
	case Complete:
		return m.complete(c)
	case Release:
		return m.release(c)
	case Abandon:
		return m.abandon(c)
	case Expire:
		return m.expire(c)
	}
	return Result{Code: Malformed}
}

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

func (m *Machine) claim(c Claim) Result {
	if !validHolder(c.Holder) || !validName(c.Account) {
		return Result{Code: Malformed}
	}
	if r, ok := m.records[c.Key]; ok {
		return r.answerClaim(c)
	}
	if _, ok := m.tombs[c.Key]; ok {
		return Result{Code: KeyUsed}
	}
	if _, released := m.marks[mark{c.Key, c.Holder}]; released || c.Holder.Incarnation < m.fences[c.Holder.Entry].before {
		return Result{Code: Fenced}
	}
	if millis(c.At) < m.clock-MaxLateness.Milliseconds() {
		return Result{Code: Late}
	}
	if !c.KeyTime.IsZero() && max(millis(c.At), m.clock)-millis(c.KeyTime) > MaxKeyAge.Milliseconds() {
		return Result{Code: KeyExpired}
	}
	use := m.usage[c.Account]
	switch {
	case use != nil && use.records >= m.limits(c.Account).MaxRecords:
		return Result{Code: AccountFull}
	case len(m.records) >= MaxLive || m.Len() >= MaxRecords:
		return Result{Code: Full}
	case use == nil:
		use = &usage{account: c.Account}
		m.usage[c.Account] = use
	}
	use.records++
	r := &record{state: StateRunning, use: use, body: c.Body, holder: c.Holder, keyTime: millis(c.KeyTime), deadline: m.runUntil(c)}
	m.records[c.Key] = r
	m.schedule(c.Key, r, r.deadline+deadlineGrace.Milliseconds())
	return Result{Code: Granted, Holder: r.holder, Deadline: fromMillis(r.deadline)}
}

// runUntil bounds the deadline of a claim.
func (m *Machine) runUntil(c Claim) int64 {
	start := m.ahead(c.At)
	return min(max(millis(c.Deadline), start), start+maxRunTime.Milliseconds())
}

// ahead returns the time of a command, or the machine's clock when that is
// later, up to maxAhead.
func (m *Machine) ahead(at time.Time) int64 {
	return min(max(millis(at), m.clock), m.clock+maxAhead.Milliseconds())
}

// answerClaim answers a claim for a key that has a record. A claim that is
// applied twice is granted twice to the same request, which dispatches once.
func (r *record) answerClaim(c Claim) Result {
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
	return Result{Code: code, Holder: r.holder, Deadline: fromMillis(r.deadline)}
}

func (m *Machine) complete(c Complete) Result {
	r := m.records[c.Key]
	if r == nil || r.holder != c.Holder {
		return Result{Code: NotHolder}
	}
	if r.state == StateDone {
		return Result{Code: Completed, BodyStored: !r.answer.BodyOmitted}
	}
	if c.Lost {
		if r.state == StateRunning {
			m.lose(c.Key, r)
		}
		return Result{Code: Completed}
	}
	r.state = StateDone
	r.answer = m.stored(r.use, c.Answer)
	m.schedule(c.Key, r, m.clock+m.limits(r.use.account).Answers.Milliseconds())
	return Result{Code: Completed, BodyStored: !r.answer.BodyOmitted}
}

// stored returns the part of an answer that fits the limits.
func (m *Machine) stored(use *usage, a Answer) *Answer {
	a.Header = slices.Clone(a.Header)
	a.Body = slices.Clone(a.Body)
	if a.headerSize() > MaxHeaderBytes {
		a.Header = nil
		a.Body, a.BodyOmitted = nil, true
	}
	if a.size() > MaxAnswerBytes || !m.fits(use, a.size()) {
		a.Body, a.BodyOmitted = nil, true
	}
	if !m.fits(use, a.size()) {
		a.Header = nil
	}
	use.bytes += a.size()
	m.bytes += a.size()
	return &a
}

func (m *Machine) fits(use *usage, size int64) bool {
	return use.bytes+size <= m.limits(use.account).MaxStoredBytes && m.bytes+size <= MaxStoredBytes
}

// release frees the key when the holder has it, and in any case prevents a
// claim of the same holder that is committed later.
func (m *Machine) release(c Release) Result {
	if !validHolder(c.Holder) {
		return Result{Code: Malformed}
	}
	r := m.records[c.Key]
	held := r != nil && r.holder == c.Holder
	if held && r.state == StateDone {
		return Result{Code: NotReleasable}
	}
	at := mark{c.Key, c.Holder}
	if _, known := m.marks[at]; !known && len(m.marks) >= maxMarks {
		return Result{Code: Full}
	}
	m.marks[at] = m.ahead(c.At) + markRetention.Milliseconds()
	if held {
		delete(m.records, c.Key)
		m.forget(r.use)
	} else if r != nil {
		return Result{Code: NotHolder}
	}
	return Result{Code: Released}
}

func (m *Machine) abandon(c Abandon) Result {
	if !validName(c.Entry) {
		return Result{Code: Malformed}
	}
	f := m.fences[c.Entry]
	f.before = max(f.before, c.Before)
	f.due = m.clock + fenceRetention.Milliseconds()
	m.fences[c.Entry] = f
	count := 0
	for key, r := range m.records {
		if r.state == StateRunning && r.holder.Entry == c.Entry && r.holder.Incarnation < c.Before {
			m.lose(key, r)
			count++
		}
	}
	return Result{Code: Abandoned, Count: count}
}

// lose marks the outcome of a running claim as unknown.
func (m *Machine) lose(key Key, r *record) {
	r.state = StateUnknown
	m.schedule(key, r, m.clock+m.limits(r.use.account).Answers.Milliseconds())
}

func (m *Machine) expire(c Expire) Result {
	m.clock = max(m.clock, min(millis(c.At), m.clock+maxStep.Milliseconds()))
	count := 0
	for len(m.expiry) > 0 && m.expiry[0].at <= m.clock {
		e := heap.Pop(&m.expiry).(expiry)
		if m.expireKey(e) {
			count++
		}
	}
	for at, due := range m.marks {
		if due <= m.clock {
			delete(m.marks, at)
		}
	}
	for entry, f := range m.fences {
		if f.due <= m.clock {
			delete(m.fences, entry)
		}
	}
	return Result{Code: Expired, Count: count}
}

// expireKey moves a key to its next state, unless it has changed since the
// expiry was scheduled.
func (m *Machine) expireKey(e expiry) bool {
	if t, ok := m.tombs[e.key]; ok && t.due == e.at {
		delete(m.tombs, e.key)
		m.forget(t.use)
		return true
	}
	r := m.records[e.key]
	if r == nil || r.due != e.at {
		return false
	}
	if r.state == StateRunning {
		m.lose(e.key, r)
		return true
	}
	m.bury(e.key, r)
	return true
}

// bury replaces a record by a tombstone. A key that encodes its time needs one
// only until its age alone has it refused.
func (m *Machine) bury(key Key, r *record) {
	delete(m.records, key)
	if r.answer != nil {
		r.use.bytes -= r.answer.size()
		m.bytes -= r.answer.size()
	}
	limits := m.limits(r.use.account)
	due := r.due + limits.Tombstones.Milliseconds()
	if r.keyTime != 0 {
		due = min(due, r.keyTime+MaxKeyAge.Milliseconds()+1)
	}
	if due <= m.clock {
		m.forget(r.use)
		return
	}
	m.tombs[key] = tombstone{due: due, use: r.use}
	heap.Push(&m.expiry, expiry{at: due, key: key})
}

func (m *Machine) forget(use *usage) {
	if use.records--; use.records == 0 {
		delete(m.usage, use.account)
	}
}

func (m *Machine) schedule(key Key, r *record, due int64) {
	r.due = due
	heap.Push(&m.expiry, expiry{at: due, key: key})
}

func validHolder(h Holder) bool { return validName(h.Entry) && validName(h.Request) }
func validName(s string) bool   { return s != "" && len(s) <= maxNameLength }

func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

// expiry is a time at which a key may change. The heap may hold outdated ones.
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
