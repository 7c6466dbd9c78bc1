package quarantine

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxContexts is the number of parts of which each generation of partContexts
	// holds the context.
	maxContexts = 4096
	// depthPositions separates the two numbers in ReportedRequest.Depth. A higher
	// number of other parts, or a later position, counts as the highest one.
	depthPositions = 16
)

// partContexts holds, for parts of prompts, the other parts that all requests with
// the part had. It forgets parts in generations, so that its memory is bounded.
type partContexts struct {
	current, previous map[Digest][]Digest
}

// observe learns from the parts of a request which of them occur without each
// other.
func (p *partContexts) observe(parts []Digest) {
	for _, part := range parts {
		others, known := p.get(part)
		if known {
			others = slices.DeleteFunc(others, func(o Digest) bool { return !slices.Contains(parts, o) })
		} else {
			others = slices.DeleteFunc(slices.Clone(parts), func(o Digest) bool { return o == part })
		}
		p.put(part, others)
	}
}

func (p *partContexts) get(part Digest) (others []Digest, known bool) {
	if others, known = p.current[part]; known {
		return others, true
	}
	others, known = p.previous[part]
	return others, known
}

func (p *partContexts) put(part Digest, others []Digest) {
	if len(p.current) >= maxContexts {
		p.previous, p.current = p.current, nil
	}
	if p.current == nil {
		p.current = map[Digest][]Digest{}
	}
	p.current[part] = others
}

// depth returns the depth of a part at a position of a prompt. If no request with
// the part was observed, all of them are taken to have the parts before it.
func (p *partContexts) depth(part Digest, position int) uint8 {
	others := position - 1
	if observed, known := p.get(part); known {
		others = len(observed)
	}
	return uint8(min(others, depthPositions-1)*depthPositions + min(position, depthPositions-1))
}

// observeParts learns which parts occur without each other, and corrects the depths
// of suspects.
func (t *Tracker) observeParts(parts []Digest) {
	t.contexts.observe(parts)
	for _, part := range parts {
		for _, c := range t.suspects[part] {
			t.lowerDepth(c, part)
		}
	}
}

// addDepth records the depth of a part that an entry has found. The lowest one
// applies: an entry that saw the part without another one knows more.
func (c *crash) addDepth(part Digest, depth uint8) {
	if lowest, known := c.depths[part]; depth > 0 && part.isPart() && (!known || depth < lowest) {
		c.depths[part] = depth
	}
}

// lowerDepth corrects the reported depth of a part by what this entry has observed.
func (t *Tracker) lowerDepth(c *crash, part Digest) {
	reported, isKnown := c.depths[part]
	if _, observed := t.contexts.get(part); !isKnown || !observed {
		return
	}
	if depth := t.contexts.depth(part, int(reported%depthPositions)); depth < reported {
		c.depths[part], c.ownDepths[part], c.ownNews = depth, depth, true
	}
}

// depth returns the lowest depth of a part over the crashes of which it is a
// suspect.
func (t *Tracker) depth(part Digest) uint8 {
	lowest := uint8(math.MaxUint8)
	for _, c := range t.suspects[part] {
		if depth, known := c.depths[part]; known {
			lowest = min(lowest, depth)
		}
	}
	return lowest
}

// isWider reports whether a part is wider than a suspect that ran with it: more
// requests have it. A part is always wider than a request. To be wider than another
// part, it must have been in flight at each crash of that one.
func (t *Tracker) isWider(part, suspect Digest) bool {
	if !suspect.isPart() {
		return true
	}
	absent := func(c *crash) bool { return c.presence(part) == 0 }
	return !slices.ContainsFunc(t.suspects[suspect], absent) && t.compareNarrowness(part, suspect) < 0
}

// compareNarrowness orders parts that the same requests had. The part with the
// higher depth is in fewer requests. Of parts that are seen with as many others, the
// one that was in flight at more crashes explains more.
func (t *Tracker) compareNarrowness(a, b Digest) int {
	depthA, depthB := t.depth(a), t.depth(b)
	return cmp.Or(
		cmp.Compare(depthA/depthPositions, depthB/depthPositions),
		cmp.Compare(len(t.suspects[a]), len(t.suspects[b])),
		cmp.Compare(depthA, depthB),
		slices.Compare(a[:], b[:]),
	)
}
