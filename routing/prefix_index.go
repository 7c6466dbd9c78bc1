package routing

import (
	"cmp"
	"math"
	"sync"
	"time"
)

// Limits of the prefix index.
const (
	maxMatches = 8
	// maxHolders is the maximum number of upstreams recorded for one block,
	// which is enough to choose from.
	maxHolders = 32
	// minProbability is the probability below which a block counts as evicted.
	minProbability = 0.1
	// lateBatchDecay is the decay of blocks stored by a batch that arrives after
	// newer ones, because a newer event may already have evicted them. It halves
	// the probability.
	lateBatchDecay = math.Ln2
	// maxLostEvents is the maximum number of lost events counted for one gap.
	maxLostEvents = 1 << 20
	// maxGaps is the number of sequence gaps kept for each upstream that late
	// batches can fill.
	maxGaps = 8
)

// PrefixConfig configures a PrefixIndex. Zero fields take their defaults.
type PrefixConfig struct {
	// UpstreamBlocks is the maximum number of blocks recorded for an upstream,
	// which is also the assumed size of its cache; 4096 by default.
	UpstreamBlocks int
	// TotalBlocks is the maximum number of blocks of all upstreams; 262,144 by
	// default.
	TotalBlocks int
	// HalfLife is the time after which half of the blocks of an upstream that
	// publishes no events are assumed to be evicted; 10 min by default.
	HalfLife time.Duration
}

// CacheEventKind states whether a block was stored or evicted.
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

// Match is an upstream that has probably cached a prefix.
type Match struct {
	slot int32
	// Blocks is the number of leading blocks in the cache.
	Blocks int
	// Probability is the probability, 0 to 1, that they are still cached.
	Probability float64
}

// block records that an upstream has cached a block. Each is an element of two
// linked lists: the upstream's blocks in order of last use, and the holders of
// the hash.
type block struct {
	hash         uint64
	sequence     uint64  // newest event applied to the block
	decayAtUse   float32 // decay of the cache when the block was last used
	slot         int32
	newer, older int32
	nextHolder   int32
}

// cache is the known state of one upstream's prefix cache. A block that was last
// used when the decay was d is still cached with the probability exp(d - decay).
type cache struct {
	id             string
	incarnation    uint64
	newest, oldest int32 // blocks by last use
	count          int
	nextSequence   uint64 // next expected sequence number; 0 before any event
	gaps           [maxGaps]sequenceRange
	decay          float64 // grows with lost events and idle time
	decayedAt      time.Time
	inUse          bool
}

// sequenceRange is a range of missing sequence numbers, excluding end.
type sequenceRange struct{ first, end uint64 }

// PrefixIndex estimates which upstreams have cached which prompt blocks, based on
// their cache events and on the requests that this entry dispatched. It is safe
// for concurrent use.
type PrefixIndex struct {
	cfg PrefixConfig

	mu             sync.RWMutex
	blocks         []block
	freeList       int32 // unused blocks, linked through nextHolder
	holders        map[uint64]int32
	caches         []cache
	slots          map[string]int32
	freeSlots      []int32 // slots of removed upstreams
	evictionCursor int     // last cache from which a block was evicted at TotalBlocks
	blockCount     int
}

// nilIndex marks the end of a list.
const nilIndex = int32(-1)

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(cfg PrefixConfig) *PrefixIndex {
	cfg.UpstreamBlocks = cmp.Or(cfg.UpstreamBlocks, 4096)
	cfg.TotalBlocks = cmp.Or(cfg.TotalBlocks, 1<<18)
	cfg.HalfLife = cmp.Or(cfg.HalfLife, 10*time.Minute)
	return &PrefixIndex{cfg: cfg, freeList: nilIndex, holders: map[uint64]int32{}, slots: map[string]int32{}}
}

// Blocks returns the number of recorded blocks.
func (x *PrefixIndex) Blocks() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.blockCount
}

// slotOf returns the slot of an upstream. A newer incarnation starts with an empty
// cache.
func (x *PrefixIndex) slotOf(now time.Time, id string, incarnation uint64) int32 {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, _ := x.ensureCache(now, id, incarnation)
	return slot
}

// ensureCache returns the slot of an upstream and creates its cache if necessary.
// It resets the cache for a newer incarnation and returns false for an older one.
func (x *PrefixIndex) ensureCache(now time.Time, id string, incarnation uint64) (int32, bool) {
	slot, ok := x.slots[id]
	if !ok {
		if n := len(x.freeSlots); n > 0 {
			slot, x.freeSlots = x.freeSlots[n-1], x.freeSlots[:n-1]
		} else {
			slot = int32(len(x.caches))
			x.caches = append(x.caches, cache{})
		}
		x.slots[id] = slot
		x.caches[slot] = cache{id: id, incarnation: incarnation, newest: nilIndex, oldest: nilIndex, decayedAt: now, inUse: true}
	}
	c := &x.caches[slot]
	if incarnation < c.incarnation {
		return slot, false
	}
	if incarnation > c.incarnation {
		x.removeBlocks(c)
		*c = cache{id: id, incarnation: incarnation, newest: nilIndex, oldest: nilIndex, decayedAt: now, inUse: true}
	}
	return slot, true
}

// Remove deletes an upstream and its blocks.
func (x *PrefixIndex) Remove(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.slots[id]
	if !ok {
		return
	}
	x.removeBlocks(&x.caches[slot])
	x.caches[slot] = cache{newest: nilIndex, oldest: nilIndex}
	delete(x.slots, id)
	x.freeSlots = append(x.freeSlots, slot)
}

func (x *PrefixIndex) removeBlocks(c *cache) {
	for c.oldest != nilIndex {
		x.removeBlock(c, c.oldest)
	}
}

// RecordPrompt records that a prompt was dispatched to an upstream, which will
// cache its blocks.
func (x *PrefixIndex) RecordPrompt(now time.Time, id string, incarnation uint64, hashes []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.ensureCache(now, id, incarnation)
	if !ok {
		return
	}
	// Store the first block last, as the most recently used: engines evict the
	// end of a prompt before its start.
	for i := len(hashes) - 1; i >= 0; i-- {
		x.store(now, slot, hashes[i], x.caches[slot].nextSequence, 0)
	}
}

// Apply records a batch of cache events. A gap in the sequence numbers lowers the
// probability of the upstream's other blocks, because each lost event may have
// evicted any of them.
func (x *PrefixIndex) Apply(now time.Time, b CacheEvents) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.ensureCache(now, b.Upstream, b.Incarnation)
	if !ok {
		return
	}
	c := &x.caches[slot]
	end := b.First + uint64(len(b.Events))
	extraDecay := 0.0
	switch {
	case c.nextSequence == 0:
		c.nextSequence = end
	case b.First >= c.nextSequence:
		x.recordGap(c, b.First)
		c.nextSequence = end
	default: // a late batch
		if !x.fillGap(c, b.First, end) {
			return // a duplicate
		}
		extraDecay = lateBatchDecay
	}
	x.advanceDecay(now, c)
	for i, e := range b.Events {
		x.applyEvent(now, slot, e, b.First+uint64(i), extraDecay)
	}
}

func (x *PrefixIndex) applyEvent(now time.Time, slot int32, e CacheEvent, sequence uint64, extraDecay float64) {
	if e.Kind == BlockStored {
		x.store(now, slot, e.Hash, sequence, extraDecay)
		return
	}
	if i := x.findBlock(slot, e.Hash); i != nilIndex && x.blocks[i].sequence <= sequence {
		x.removeBlock(&x.caches[slot], i)
	}
}

// recordGap counts the events from the expected sequence number up to first as
// lost.
func (x *PrefixIndex) recordGap(c *cache, first uint64) {
	if first == c.nextSequence {
		return
	}
	copy(c.gaps[1:], c.gaps[:])
	c.gaps[0] = sequenceRange{c.nextSequence, first}
	c.decay += x.lossDecay(first - c.nextSequence)
}

// fillGap removes a late batch from the gap that contains it. It returns false if
// no gap does, in which case the batch is a duplicate.
func (x *PrefixIndex) fillGap(c *cache, first, end uint64) bool {
	for i := range c.gaps {
		s := &c.gaps[i]
		if first < s.first || end > s.end || first == end {
			continue
		}
		c.decay -= x.lossDecay(end - first)
		rest := sequenceRange{end, s.end}
		s.end = first
		if s.first == s.end {
			*s = rest
		} else if rest.first < rest.end {
			copy(c.gaps[1:], c.gaps[:maxGaps-1])
			c.gaps[0] = rest
		}
		return true
	}
	return false
}

// lossDecay returns the decay caused by lost events: their number as a fraction
// of a full cache.
func (x *PrefixIndex) lossDecay(events uint64) float64 {
	return float64(min(events, maxLostEvents)) / float64(x.cfg.UpstreamBlocks)
}

// advanceDecay adds the decay of the time since the last event.
func (x *PrefixIndex) advanceDecay(now time.Time, c *cache) {
	c.decay += x.idleDecay(now, c)
	c.decayedAt = now
}

// idleDecay returns the decay caused by the time without events.
func (x *PrefixIndex) idleDecay(now time.Time, c *cache) float64 {
	return max(0, now.Sub(c.decayedAt).Seconds()/x.cfg.HalfLife.Seconds()) * math.Ln2
}

// probability returns the probability that a block is still cached.
func (x *PrefixIndex) probability(now time.Time, b *block) float64 {
	c := &x.caches[b.slot]
	decay := c.decay + x.idleDecay(now, c) - float64(b.decayAtUse)
	if decay <= 0 {
		return 1
	}
	return math.Exp(-decay)
}
