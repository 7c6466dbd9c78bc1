package upstreamlimit

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellfield/bluebellfield/admission/share"
)

// Tracker keeps the limits of upstreams for one entry. It is not safe for
// concurrent use.
type Tracker struct {
	cfg    Config
	node   *share.Node
	limits map[Target]*limit
	// live holds the entries that are reachable, without this one. seen holds the
	// time at which an entry was last reachable.
	live []string
	seen map[string]time.Time
	// known holds the entries that are counted, with this one.
	known []string
}

// limit is the state of a limit at this entry.
type limit struct {
	id   share.LimitID
	rate float64
	// version orders the changes that entries have learned, so that a message that
	// arrives late does not revert a later one. heard is the highest version of a
	// message that this entry did not apply, because it knew better.
	version, heard uint64
	// units is the number of units, and unitRate the rate of each.
	units    int
	unitRate float64
	// held is the number of units that this entry held at updated, and tokens the
	// number of requests that it could send.
	held    int
	tokens  float64
	updated time.Time
	// observed is the time of the last answer to this entry; zero without one.
	observed time.Time
	// announced is the time at which this entry last told the others. due is set if
	// they have to be told.
	announced time.Time
	due       bool
	// offered is the average number of requests per second that this entry could
	// send, as of offeredAt.
	offered   float64
	offeredAt time.Time
}

// New returns a tracker without limits.
func New(cfg Config, now time.Time) *Tracker {
	t := &Tracker{cfg: cfg, limits: map[Target]*limit{}, seen: map[string]time.Time{},
		node: share.New(share.Config{ID: cfg.Self, Incarnation: cfg.Incarnation, Lease: leaseTime, Evidence: evidenceTime, Period: reportPeriod, MaxOwners: maxOwners}, now)}
	t.SetEntries(now, nil, nil)
	return t
}

// Valid reports whether a rate is one that an upstream may name.
func Valid(rate float64) bool { return rate >= 0 && rate <= maxRate }

// ParseRate reads the rate that an answer names, or returns false if it names none
// or one that cannot be obeyed.
func ParseRate(value string) (rate float64, named bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	return rate, err == nil && Valid(rate)
}

// Observe records an answer of an upstream, with the rate that it names; named is
// false if it names none. It reports whether the limit has changed.
func (t *Tracker) Observe(now time.Time, target Target, rate float64, named bool) bool {
	l := t.limits[target]
	if !named {
		if l == nil || l.rate < 0 && l.heard <= l.version {
			return false
		}
		rate = -1
	}
	changed := l == nil || l.rate != rate
	if changed {
		l = t.set(now, target, rate)
	}
	if changed || l.heard > l.version {
		l.version = max(l.version, l.heard) + 1
		l.due = true
	}
	l.observed = now
	return changed
}

// set adds or changes a limit. A negative rate lifts it; the state is kept, so that
// late messages of other entries do not restore it at once.
func (t *Tracker) set(now time.Time, target Target, rate float64) *limit {
	l := t.limits[target]
	if l == nil {
		l = &limit{id: share.ID(share.Slots, target.Upstream, strconv.FormatUint(target.Incarnation, 10))}
		t.limits[target] = l
	}
	fresh := l.rate <= 0 && l.units == 0
	l.rate = rate
	l.units, l.unitRate = 0, 0
	if rate >= 0 {
		effective := max(rate, minRate)
		l.units = max(int(effective), 1)
		l.unitRate = effective / float64(l.units)
	}
	t.updateNode(now)
	if fresh && l.units > 0 {
		l.held = t.heldUnits(now, l)
		l.tokens, l.updated = min(float64(l.held), 1), now
	}
	return l
}

// updateNode passes the limits in force to the share protocol.
func (t *Tracker) updateNode(now time.Time) {
	var all []share.Limit
	for _, l := range t.limits {
		if l.units > 0 {
			all = append(all, share.Limit{ID: l.id, Kind: share.Slots, Value: float64(l.units)})
		}
	}
	t.node.SetLimits(now, all)
}

func (t *Tracker) heldUnits(now time.Time, l *limit) int {
	return int(t.node.LocalAllowance(now, l.id).Value)
}

// refill adds the tokens since the last call. Units that this entry has gained since
// then start with what they earn in firstTokens, since an entry with few requests
// would otherwise lose them again without having sent any.
func (t *Tracker) refill(now time.Time, l *limit) {
	held := t.heldUnits(now, l)
	elapsed := max(now.Sub(l.updated).Seconds(), 0)
	earned := elapsed * float64(min(l.held, held)) * l.unitRate
	gained := float64(max(held-l.held, 0)) * min(l.unitRate*firstTokens.Seconds(), 1)
	l.tokens = min(l.tokens+earned+gained, burst(held))
	l.held, l.updated = held, now
}

// burst returns the number of requests that an entry with the given number of units
// may send at once. An entry without units keeps what it has earned, since a slow
// unit may move before it has earned a request, and sends it when it has one again.
func burst(held int) float64 { return max(float64(held)/2, 1) }

// ready reports whether a request may be sent. The limit has been refilled.
func (l *limit) ready() bool { return l.held > 0 && l.tokens >= 1 }

// Count returns the number of limits in force.
func (t *Tracker) Count() int {
	n := 0
	for _, l := range t.limits {
		if l.units > 0 {
			n++
		}
	}
	return n
}

// Offer records that this entry could send a request to the upstream, and returns
// the time until it may, zero if it may now.
func (t *Tracker) Offer(now time.Time, target Target) time.Duration {
	l := t.limits[target]
	if l == nil || l.units == 0 {
		return 0
	}
	l.decay(now)
	l.offered += 1 / demandWindow.Seconds()
	t.node.SetDemand(now, l.id, l.demand())
	t.refill(now, l)
	switch {
	case l.ready():
		return 0
	case l.held == 0:
		return leaseWait
	}
	return time.Duration((1 - l.tokens) / (float64(l.held) * l.unitRate) * float64(time.Second))
}

// decay brings the average of the offered requests up to date.
func (l *limit) decay(now time.Time) {
	elapsed := max(now.Sub(l.offeredAt).Seconds(), 0)
	l.offered *= math.Exp(-elapsed / demandWindow.Seconds())
	l.offeredAt = now
}

// demand returns the number of units that this entry could use.
func (l *limit) demand() share.Demand {
	if l.offered < minOffered {
		return share.Demand{}
	}
	return share.Demand{Paying: math.Ceil(l.offered / l.unitRate)}
}

// Take reports whether a request may be sent to the upstream now and, if so, counts
// it.
func (t *Tracker) Take(now time.Time, target Target) bool {
	l := t.limits[target]
	if l == nil || l.units == 0 {
		return true
	}
	t.refill(now, l)
	if !l.ready() {
		return false
	}
	l.tokens--
	return true
}

// SetEntries sets the other entries: those that are reachable, and others that are
// known to belong to the deployment.
func (t *Tracker) SetEntries(now time.Time, live, others []string) {
	for _, id := range live {
		t.seen[id] = now
	}
	maps.DeleteFunc(t.seen, func(_ string, at time.Time) bool { return now.Sub(at) > entryRetention })
	known := append(slices.Collect(maps.Keys(t.seen)), others...)
	known = append(known, t.cfg.Self)
	slices.Sort(known)
	known = slices.Compact(known)
	if slices.Equal(known, t.known) && slices.Equal(live, t.live) {
		return
	}
	t.live, t.known = slices.Clone(live), known
	t.node.SetView(now, append([]string{t.cfg.Self}, live...), known)
}

// Snapshot returns the limits in force, for an entry that may not know them. It is
// empty without any.
func (t *Tracker) Snapshot() Message {
	return t.named(func(l *limit) bool { return l.units > 0 })
}

// named lists the limits that match, sorted by upstream.
func (t *Tracker) named(matches func(*limit) bool) Message {
	var m Message
	for target, l := range t.limits {
		if matches(l) {
			m.Named = append(m.Named, Named{Target: target, Rate: l.rate, Version: l.version})
		}
	}
	slices.SortFunc(m.Named, func(a, b Named) int { return strings.Compare(a.Target.Upstream, b.Target.Upstream) })
	return m
}

// Receive applies a message of another entry and returns the answers.
func (t *Tracker) Receive(now time.Time, from string, m Message) []Envelope {
	for _, n := range m.Named {
		l := t.limits[n.Target]
		switch {
		case n.Rate >= 0 && !Valid(n.Rate):
		case l == nil && n.Rate < 0 && n.Version == 0:
		case l != nil && n.Version != 0 && n.Version < l.version:
			// The sender had not heard of the latest change.
		case l != nil && l.rate == n.Rate:
			l.due, l.version = false, max(l.version, n.Version)
		case l != nil && !l.observed.IsZero() && now.Sub(l.observed) < ownValidity:
			// What this entry has seen itself is newer than what it is told.
			l.heard = max(l.heard, n.Version)
		default:
			l = t.set(now, n.Target, n.Rate)
			l.due, l.version = false, max(l.version, n.Version)
		}
	}
	if m.Share == nil {
		return nil
	}
	return envelopes(t.node.Step(now, from, *m.Share))
}

func envelopes(out []share.Envelope) []Envelope {
	all := make([]Envelope, len(out))
	for i := range out {
		all[i] = Envelope{To: out[i].To, Message: Message{Share: &out[i].Message}}
	}
	return all
}

// Tick returns the messages that are due.
func (t *Tracker) Tick(now time.Time) []Envelope {
	if len(t.limits) == 0 {
		return nil
	}
	for _, l := range t.limits {
		if l.units > 0 {
			l.decay(now)
			t.node.SetDemand(now, l.id, l.demand())
		}
	}
	out := envelopes(t.node.Tick(now))
	if m := t.named(func(l *limit) bool { return l.announceDue(now) }); len(m.Named) > 0 {
		for _, id := range t.live {
			out = append(out, Envelope{To: id, Message: m})
		}
		for _, n := range m.Named {
			l := t.limits[n.Target]
			l.due, l.announced = false, now
		}
	}
	return out
}

// announceDue reports whether this entry has to tell the others of the limit: after
// a change, and repeatedly while it gets answers.
func (l *limit) announceDue(now time.Time) bool {
	return l.due || l.units > 0 && !l.announced.IsZero() && now.Sub(l.announced) >= announceInterval && now.Sub(l.observed) < announceInterval
}

// Retain removes the limits of the upstreams that are gone.
func (t *Tracker) Retain(now time.Time, present func(Target) bool) {
	before := len(t.limits)
	maps.DeleteFunc(t.limits, func(target Target, _ *limit) bool { return !present(target) })
	if len(t.limits) != before {
		t.updateNode(now)
	}
}

// Statuses lists the limits in force.
func (t *Tracker) Statuses(now time.Time) []Status {
	var all []Status
	for target, l := range t.limits {
		if l.units > 0 {
			all = append(all, Status{Target: target, Rate: l.rate, Share: float64(t.heldUnits(now, l)) * l.unitRate})
		}
	}
	slices.SortFunc(all, func(a, b Status) int { return strings.Compare(a.Target.Upstream, b.Target.Upstream) })
	return all
}
