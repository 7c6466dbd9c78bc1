package routing

import "time"

// find returns the record of a block at an upstream, or none.
func (x *PrefixIndex) find(slot int32, hash uint64) int32 {
	i, ok := x.holders[hash]
	if !ok {
		return none
	}
	for ; i != none; i = x.blocks[i].nextHolder {
		if x.blocks[i].slot == slot {
			return i
		}
	}
	return none
}

// store records a block as the upstream's newest and restores the belief in
// it, less the extra doubt. It makes room where the upstream's memory or that
// of the index is full.
func (x *PrefixIndex) store(now time.Time, slot int32, hash, sequence uint64, extra float64) {
	c := &x.caches[slot]
	doubt := float32(c.doubt + x.silence(now, c) - extra)
	if i := x.find(slot, hash); i != none {
		b := &x.blocks[i]
		b.doubt, b.sequence = max(b.doubt, doubt), max(b.sequence, sequence)
		x.unlink(c, i)
		x.link(c, i)
		return
	}
	if c.count >= x.cfg.UpstreamBlocks {
		x.remove(c, c.oldest)
	} else if x.total >= x.cfg.TotalBlocks {
		x.takeOne()
	}
	i := x.allocate()
	x.blocks[i] = block{hash: hash, sequence: sequence, doubt: doubt, slot: slot, nextHolder: none}
	x.link(c, i)
	x.addHolder(hash, i)
	c.count++
	x.total++
}

// addHolder puts a record at the head of its hash's holders. The last holder
// is dropped where there would be more than maxHolders.
func (x *PrefixIndex) addHolder(hash uint64, i int32) {
	if head, ok := x.holders[hash]; ok {
		x.blocks[i].nextHolder = head
		n, last := 1, head
		for ; x.blocks[last].nextHolder != none; last = x.blocks[last].nextHolder {
			n++
		}
		if n >= maxHolders {
			x.holders[hash] = i
			x.remove(&x.caches[x.blocks[last].slot], last)
		}
	}
	x.holders[hash] = i
}

func (x *PrefixIndex) allocate() int32 {
	if x.free == none {
		x.blocks = append(x.blocks, block{})
		return int32(len(x.blocks) - 1)
	}
	i := x.free
	x.free = x.blocks[i].nextHolder
	return i
}

// takeOne removes the oldest block of the next upstream in turn that has one.
func (x *PrefixIndex) takeOne() {
	for range x.caches {
		x.hand = (x.hand + 1) % len(x.caches)
		if c := &x.caches[x.hand]; c.used && c.oldest != none {
			x.remove(c, c.oldest)
			return
		}
	}
}

func (x *PrefixIndex) remove(c *cache, i int32) {
	hash := x.blocks[i].hash
	if head := x.holders[hash]; head == i {
		if next := x.blocks[i].nextHolder; next == none {
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
	x.blocks[i] = block{nextHolder: x.free, slot: none}
	x.free = i
	c.count--
	x.total--
}

func (x *PrefixIndex) link(c *cache, i int32) {
	b := &x.blocks[i]
	b.newer, b.older = none, c.newest
	if c.newest != none {
		x.blocks[c.newest].newer = i
	} else {
		c.oldest = i
	}
	c.newest = i
}

func (x *PrefixIndex) unlink(c *cache, i int32) {
	b := &x.blocks[i]
	if b.newer != none {
		x.blocks[b.newer].older = b.older
	} else {
		c.newest = b.older
	}
	if b.older != none {
		x.blocks[b.older].newer = b.newer
	} else {
		c.oldest = b.newer
	}
}

// match fills dst with the upstreams that hold the longest known prefixes of
// hashes and returns their number. Holding a block is taken to mean holding
// the blocks before it, as engines drop the end of a prompt first. Where more
// upstreams hold a block than fit, draw decides which of them are returned, so
// that entries spread a popular prefix over all of its holders.
func (x *PrefixIndex) match(now time.Time, hashes []uint64, draw uint64, dst *[maxMatches]Match) int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	n := 0
	for depth := len(hashes); depth > 0 && n < maxMatches; depth-- {
		i, ok := x.holders[hashes[depth-1]]
		if !ok {
			continue
		}
		for i = x.skipHolders(i, maxMatches-n, draw); i != none && n < maxMatches; i = x.blocks[i].nextHolder {
			b := &x.blocks[i]
			if matchedSlot(dst[:n], b.slot) {
				continue
			}
			if belief := x.belief(now, b); belief >= minBelief {
				dst[n] = Match{slot: b.slot, Blocks: depth, Belief: belief}
				n++
			}
		}
	}
	return n
}

// skipHolders returns a random holder of the list that begins with head, one
// that leaves room for enough others after it.
func (x *PrefixIndex) skipHolders(head int32, room int, draw uint64) int32 {
	length := 0
	for i := head; i != none; i = x.blocks[i].nextHolder {
		length++
	}
	if length <= room {
		return head
	}
	for skip := mix(draw) % uint64(length-room+1); skip > 0; skip-- {
		head = x.blocks[head].nextHolder
	}
	return head
}

func matchedSlot(ms []Match, slot int32) bool {
	for i := range ms {
		if ms[i].slot == slot {
			return true
		}
	}
	return false
}

// Holds returns the number of leading blocks of hashes that an upstream is
// believed to hold, and the belief.
func (x *PrefixIndex) Holds(now time.Time, id string, hashes []uint64) (int, float64) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	slot, ok := x.slots[id]
	if !ok {
		return 0, 0
	}
	for depth := len(hashes); depth > 0; depth-- {
		if i := x.find(slot, hashes[depth-1]); i != none {
			return depth, x.belief(now, &x.blocks[i])
		}
	}
	return 0, 0
}
