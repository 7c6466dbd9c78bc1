package routing

import (
	"cmp"
	"math"
	"sync"
	"time"
)

// Constants of the prefix index.
const (
	maxMatches = 8
	// maxHolders bounds the upstreams recorded for one block. Where more hold
	// it, the recorded ones suffice to choose from.
	maxHolders = 32
	// minBelief is the probability below which a block counts as lost.
	minBelief = 0.1
	// lateDoubt is added to blocks of event batches that arrive after newer
	// ones: an eviction among the newer ones may have removed them. It halves
	// the belief.
	lateDoubt = math.Ln2
	// maxGap bounds the events that one gap can count as lost.
	maxGap = 1 << 20
	// maxSkipped bounds the gaps of an upstream that a late batch can still
	// close.
	maxSkipped = 8
)

// PrefixConfig bounds a PrefixIndex. Zero fields get the defaults.
type PrefixConfig struct {
	// UpstreamBlocks is the number of blocks remembered for an upstream, the
	// assumed size of its cache; 4096 by default.
	UpstreamBlocks int
	// TotalBlocks bounds the blocks of all upstreams; 262,144 by default.
	TotalBlocks int
	// HalfLife is the time after which half of the blocks of an upstream that
	// publishes nothing are assumed lost; 10 min by default.
	HalfLife time.Duration
}

// CacheEventKind tells whether a block was added or removed.
type CacheEventKind uint8

// Kinds of cache event.
const (
	BlockStored CacheEventKind = iota
	BlockEvicted
)

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Kind CacheEventKind
	Hash uint64
}

// CacheEvents is a batch of consecutive events; the first has the sequence
// number First.
type CacheEvents struct {
	Upstream    string
	Incarnation uint64
	First       uint64
	Events      []CacheEvent
}

// Match is an upstream that is believed to hold a prefix.
type Match struct {
	slot int32
	// Blocks is the number of leading blocks that the upstream holds.
	Blocks int
	// Belief is the probability, 0 to 1, that it still holds them.
	Belief float64
}

// block records that an upstream holds a block. Blocks form two lists: the
// upstream's, ordered by last use, and that of the holders of the hash.
type block struct {
	hash         uint64
	sequence     uint64 // newest event applied to the block
	doubt        float32
	slot         int32
	newer, older int32
	nextHolder   int32
}

// cache is what is known of one upstream's prefix cache.
type cache struct {
	id             string
	incarnation    uint64
	newest, oldest int32 // blocks by last use
	count          int
	next           uint64 // sequence number expected next; 0 before any event
	skipped        [maxSkipped]span
	doubt          float64 // events lost so far as a fraction of the cache
	changed        time.Time
	used           bool
}

// span is a run of sequence numbers that has not arrived.
type span struct{ first, end uint64 }

// PrefixIndex estimates which upstreams hold which blocks of prompts, from
// their cache events and from the dispatches of this entry. It may be used by
// several goroutines.
type PrefixIndex struct {
	cfg PrefixConfig

	mu      sync.RWMutex
	blocks  []block
	free    int32 // list of unused blocks through nextHolder
	holders map[uint64]int32
	caches  []cache
	slots   map[string]int32
	unused  []int32 // slots of forgotten upstreams
	hand    int     // next cache from which a block is taken when full
	total   int
}

const none = int32(-1)

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(cfg PrefixConfig) *PrefixIndex {
	cfg.UpstreamBlocks = cmp.Or(cfg.UpstreamBlocks, 4096)
	cfg.TotalBlocks = cmp.Or(cfg.TotalBlocks, 1<<18)
	cfg.HalfLife = cmp.Or(cfg.HalfLife, 10*time.Minute)
	return &PrefixIndex{cfg: cfg, free: none, holders: map[uint64]int32{}, slots: map[string]int32{}}
}

// Blocks returns the number of blocks on record.
func (x *PrefixIndex) Blocks() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.total
}

// slotOf returns the slot of an incarnation of an upstream and forgets what
// was known of another incarnation.
func (x *PrefixIndex) slotOf(now time.Time, id string, incarnation uint64) int32 {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, _ := x.enter(now, id, incarnation)
	return slot
}

// enter returns the slot of an upstream. It reports false when the incarnation
// is older than the one on record.
func (x *PrefixIndex) enter(now time.Time, id string, incarnation uint64) (int32, bool) {
	slot, ok := x.slots[id]
	if !ok {
		if n := len(x.unused); n > 0 {
			slot, x.unused = x.unused[n-1], x.unused[:n-1]
		} else {
			slot = int32(len(x.caches))
			x.caches = append(x.caches, cache{})
		}
		x.slots[id] = slot
		x.caches[slot] = cache{id: id, incarnation: incarnation, newest: none, oldest: none, changed: now, used: true}
	}
	c := &x.caches[slot]
	if incarnation < c.incarnation {
		return slot, false
	}
	if incarnation > c.incarnation {
		x.clear(c)
		*c = cache{id: id, incarnation: incarnation, newest: none, oldest: none, changed: now, used: true}
	}
	return slot, true
}

// Forget removes an upstream.
func (x *PrefixIndex) Forget(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.slots[id]
	if !ok {
		return
	}
	x.clear(&x.caches[slot])
	x.caches[slot] = cache{newest: none, oldest: none}
	delete(x.slots, id)
	x.unused = append(x.unused, slot)
}

func (x *PrefixIndex) clear(c *cache) {
	for c.oldest != none {
		x.remove(c, c.oldest)
	}
}

// Learn records that a prompt was dispatched to an upstream, which will then
// hold its blocks.
func (x *PrefixIndex) Learn(now time.Time, id string, incarnation uint64, hashes []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.enter(now, id, incarnation)
	if !ok {
		return
	}
	// The first blocks are touched last, because engines drop the end of a
	// prompt before its start.
	for i := len(hashes) - 1; i >= 0; i-- {
		x.store(now, slot, hashes[i], x.caches[slot].next, 0)
	}
}

// Apply records a batch of cache events. Events that were lost before it, as
// its sequence number shows, lower the belief in the upstream's other blocks:
// each may have been an eviction of any block.
func (x *PrefixIndex) Apply(now time.Time, b CacheEvents) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.enter(now, b.Upstream, b.Incarnation)
	if !ok {
		return
	}
	c := &x.caches[slot]
	end := b.First + uint64(len(b.Events))
	extra := 0.0
	switch {
	case c.next == 0:
		c.next = end
	case b.First >= c.next:
		x.skip(c, b.First)
		c.next = end
	default: // a late batch
		if !x.found(c, b.First, end) {
			return // a duplicate
		}
		extra = lateDoubt
	}
	x.settle(now, c)
	for i, e := range b.Events {
		x.applyEvent(now, slot, e, b.First+uint64(i), extra)
	}
}

func (x *PrefixIndex) applyEvent(now time.Time, slot int32, e CacheEvent, sequence uint64, extra float64) {
	if e.Kind == BlockStored {
		x.store(now, slot, e.Hash, sequence, extra)
		return
	}
	if i := x.find(slot, e.Hash); i != none && x.blocks[i].sequence <= sequence {
		x.remove(&x.caches[slot], i)
	}
}

// skip counts the events between the expected number and first as lost.
func (x *PrefixIndex) skip(c *cache, first uint64) {
	if first == c.next {
		return
	}
	copy(c.skipped[1:], c.skipped[:])
	c.skipped[0] = span{c.next, first}
	c.doubt += x.doubtOf(first - c.next)
}

// found takes a late batch out of the gap that it belongs to. It reports false
// when no gap covers the batch, which is then a duplicate.
func (x *PrefixIndex) found(c *cache, first, end uint64) bool {
	for i := range c.skipped {
		s := &c.skipped[i]
		if first < s.first || end > s.end || first == end {
			continue
		}
		c.doubt -= x.doubtOf(end - first)
		rest := span{end, s.end}
		s.end = first
		if s.first == s.end {
			*s = rest
		} else if rest.first < rest.end {
			copy(c.skipped[1:], c.skipped[:maxSkipped-1])
			c.skipped[0] = rest
		}
		return true
	}
	return false
}

// doubtOf returns the share of a full cache that lost events can have changed.
func (x *PrefixIndex) doubtOf(events uint64) float64 {
	return float64(min(events, maxGap)) / float64(x.cfg.UpstreamBlocks)
}

// settle turns the silence since the last event into doubt.
func (x *PrefixIndex) settle(now time.Time, c *cache) {
	c.doubt += x.silence(now, c)
	c.changed = now
}

func (x *PrefixIndex) silence(now time.Time, c *cache) float64 {
	return max(0, now.Sub(c.changed).Seconds()/x.cfg.HalfLife.Seconds()) * math.Ln2
}

func (x *PrefixIndex) belief(now time.Time, b *block) float64 {
	c := &x.caches[b.slot]
	doubt := c.doubt + x.silence(now, c) - float64(b.doubt)
	if doubt <= 0 {
		return 1
	}
	return math.Exp(-doubt)
}
