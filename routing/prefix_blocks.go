package routing

import "time"

// findBlock returns the index of a block at an upstream, or nilIndex.
func (x *PrefixIndex) findBlock(slot int32, hash uint64) int32 {
	i, ok := x.holders[hash]
	if !ok {
		return nilIndex
	}
	for ; i != nilIndex; i = x.blocks[i].nextHolder {
		if x.blocks[i].slot == slot {
			return i
		}
	}
	return nilIndex
}

// store records a block as the upstream's most recently used and resets its
// decay to extraDecay. It evicts the oldest block of the upstream, or of another
// one, at the limits UpstreamBlocks and TotalBlocks.
func (x *PrefixIndex) store(now time.Time, slot int32, hash, sequence uint64, extraDecay float64) {
	c := &x.caches[slot]
	decay := float32(c.decay + x.idleDecay(now, c) - extraDecay)
	if i := x.findBlock(slot, hash); i != nilIndex {
		b := &x.blocks[i]
		b.decayAtUse, b.sequence = max(b.decayAtUse, decay), max(b.sequence, sequence)
		x.unlink(c, i)
		x.link(c, i)
		return
	}
	if c.count >= x.cfg.UpstreamBlocks {
		x.removeBlock(c, c.oldest)
	} else if x.blockCount >= x.cfg.TotalBlocks {
		x.evictNext()
	}
	i := x.allocate()
	x.blocks[i] = block{hash: hash, sequence: sequence, decayAtUse: decay, slot: slot, nextHolder: nilIndex}
	x.link(c, i)
	x.addHolder(hash, i)
	c.count++
	x.blockCount++
}

// addHolder inserts a block at the head of the list of its hash's holders. It
// removes the last holder if there would be more than maxHolders.
func (x *PrefixIndex) addHolder(hash uint64, i int32) {
	if head, ok := x.holders[hash]; ok {
		x.blocks[i].nextHolder = head
		n, last := 1, head
		for ; x.blocks[last].nextHolder != nilIndex; last = x.blocks[last].nextHolder {
			n++
		}
		if n >= maxHolders {
			x.holders[hash] = i
			x.removeBlock(&x.caches[x.blocks[last].slot], last)
		}
	}
	x.holders[hash] = i
}

func (x *PrefixIndex) allocate() int32 {
	if x.freeList == nilIndex {
		x.blocks = append(x.blocks, block{})
		return int32(len(x.blocks) - 1)
	}
	i := x.freeList
	x.freeList = x.blocks[i].nextHolder
	return i
}

// evictNext removes the oldest block of the next upstream, in round-robin order,
// that has one.
func (x *PrefixIndex) evictNext() {
	for range x.caches {
		x.evictionCursor = (x.evictionCursor + 1) % len(x.caches)
		if c := &x.caches[x.evictionCursor]; c.inUse && c.oldest != nilIndex {
			x.removeBlock(c, c.oldest)
			return
		}
	}
}

func (x *PrefixIndex) removeBlock(c *cache, i int32) {
	hash := x.blocks[i].hash
	if head := x.holders[hash]; head == i {
		if next := x.blocks[i].nextHolder; next == nilIndex {
			delete(x.holders, hash)
		} else {
			x.holders[hash] = next
		}
	} else {
		for ; x.blocks[head].nextHolder != i; head = x.blocks[head].nextHolder {
		}
		x.blocks[head].nextHolder = x.blocks[i].nextHolder
	}
	x.unlink(c, i)
	x.blocks[i] = block{nextHolder: x.freeList, slot: nilIndex}
	x.freeList = i
	c.count--
	x.blockCount--
}

func (x *PrefixIndex) link(c *cache, i int32) {
	b := &x.blocks[i]
	b.newer, b.older = nilIndex, c.newest
	if c.newest != nilIndex {
		x.blocks[c.newest].newer = i
	} else {
		c.oldest = i
	}
	c.newest = i
}

func (x *PrefixIndex) unlink(c *cache, i int32) {
	b := &x.blocks[i]
	if b.newer != nilIndex {
		x.blocks[b.newer].older = b.older
	} else {
		c.newest = b.older
	}
	if b.older != nilIndex {
		x.blocks[b.older].newer = b.newer
	} else {
		c.oldest = b.newer
	}
}

// match fills dst with the upstreams that have cached the longest prefixes of
// hashes and returns their number. An upstream with a block is assumed to have
// the blocks before it, because engines evict the end of a prompt first. If more
// upstreams hold a block than fit, randomBits selects which are returned, so that
// entries spread a popular prefix over all of its holders.
func (x *PrefixIndex) match(now time.Time, hashes []uint64, randomBits uint64, dst *[maxMatches]Match) int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	n := 0
	for depth := len(hashes); depth > 0 && n < maxMatches; depth-- {
		i, ok := x.holders[hashes[depth-1]]
		if !ok {
			continue
		}
		for i = x.randomStart(i, maxMatches-n, randomBits); i != nilIndex && n < maxMatches; i = x.blocks[i].nextHolder {
			b := &x.blocks[i]
			if containsSlot(dst[:n], b.slot) {
				continue
			}
			if p := x.probability(now, b); p >= minProbability {
				dst[n] = Match{slot: b.slot, Blocks: depth, Probability: p}
				n++
			}
		}
	}
	return n
}

// randomStart returns a random element of the holder list that starts at head,
// such that at least count elements remain from there. It returns head if the
// list is shorter.
func (x *PrefixIndex) randomStart(head int32, count int, randomBits uint64) int32 {
	length := 0
	for i := head; i != nilIndex; i = x.blocks[i].nextHolder {
		length++
	}
	if length <= count {
		return head
	}
	for skip := mix(randomBits) % uint64(length-count+1); skip > 0; skip-- {
		head = x.blocks[head].nextHolder
	}
	return head
}

func containsSlot(ms []Match, slot int32) bool {
	for i := range ms {
		if ms[i].slot == slot {
			return true
		}
	}
	return false
}

// CachedPrefix returns the number of leading blocks of hashes that an upstream
// has probably cached, and the probability.
func (x *PrefixIndex) CachedPrefix(now time.Time, id string, hashes []uint64) (int, float64) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	slot, ok := x.slots[id]
	if !ok {
		return 0, 0
	}
	for depth := len(hashes); depth > 0; depth-- {
		if i := x.findBlock(slot, hashes[depth-1]); i != nilIndex {
			return depth, x.probability(now, &x.blocks[i])
		}
	}
	return 0, 0
}
