package routingload

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/bluebellfield/bluebellfield/routing"
)

// Parameters of the engine model. In a full batch, each request gets a token
// every 25 ms, the upper bound for the planned deployment.
const (
	batchSize           = 32
	baseStepTime        = 12 * time.Millisecond
	stepTimePerRequest  = 400 * time.Microsecond
	blockPrefillTime    = 6 * time.Millisecond // for one block of 64 tokens
	cacheCapacityBlocks = 4096
	cacheEventInterval  = 200 * time.Millisecond
)

type request struct {
	entry          int
	arrived        time.Duration
	blocks         []uint64
	tokens         int
	done           func(firstToken time.Duration)
	finishProgress float64 // engine progress at which the last token is generated
	firstTokenAt   time.Duration
}

// runningHeap orders the running requests by completion.
type runningHeap []*request

func (s runningHeap) Len() int           { return len(s) }
func (s runningHeap) Less(i, j int) bool { return s[i].finishProgress < s[j].finishProgress }
func (s runningHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *runningHeap) Push(x any)        { *s = append(*s, x.(*request)) }
func (s *runningHeap) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// engine models continuous batching: it holds up to batchSize requests,
// prefills prompts one at a time and generates tokens for all running requests
// at the same rate.
type engine struct {
	id                string
	clock             *clock
	waiting           []*request // for a slot in the batch
	prefillQueue      []*request // in the batch, prompt not yet computed
	batched           int        // requests in the batch, in prefill or running
	running           runningHeap
	progress          float64 // tokens generated for a request running since the start
	progressUpdatedAt time.Duration
	scheduleVersion   uint64 // invalidates completion events scheduled earlier

	cache             map[uint64]*list.Element // elements of lru by block hash
	lru               *list.List
	nextEventSequence uint64 // of the first event not yet published
	events            []routing.CacheEvent

	cachedBlocks, promptBlocks int
	arrivals                   int
}

func newEngine(id string, c *clock) *engine {
	return &engine{id: id, clock: c, cache: map[uint64]*list.Element{}, lru: list.New(), nextEventSequence: 1}
}

func (e *engine) load() int { return len(e.waiting) + e.batched }

func (e *engine) submit(r *request) {
	e.arrivals++
	if e.batched >= batchSize {
		e.waiting = append(e.waiting, r)
		return
	}
	e.batched++
	e.prefillQueue = append(e.prefillQueue, r)
	if len(e.prefillQueue) == 1 {
		e.prefill()
	}
}

// prefill computes the uncached blocks of the first prompt in the queue. Only
// the longest cached prefix counts as cached.
func (e *engine) prefill() {
	r := e.prefillQueue[0]
	cached := 0
	for cached < len(r.blocks) && e.cache[r.blocks[cached]] != nil {
		cached++
	}
	e.cachedBlocks += cached
	e.promptBlocks += len(r.blocks)
	e.clock.after(time.Duration(len(r.blocks)-cached)*blockPrefillTime+e.stepTime(), func() {
		e.cachePrompt(r.blocks)
		r.firstTokenAt = e.clock.now
		e.updateProgress()
		r.finishProgress = e.progress + float64(r.tokens)
		heap.Push(&e.running, r)
		e.scheduleNextCompletion()
		e.prefillQueue = e.prefillQueue[1:]
		if len(e.prefillQueue) > 0 {
			e.prefill()
		}
	})
}

// stepTime returns the time to generate one token for every running request.
func (e *engine) stepTime() time.Duration {
	return baseStepTime + time.Duration(len(e.running))*stepTimePerRequest
}

func (e *engine) updateProgress() {
	if len(e.running) > 0 {
		e.progress += float64(e.clock.now-e.progressUpdatedAt) / float64(e.stepTime())
	}
	e.progressUpdatedAt = e.clock.now
}

// scheduleNextCompletion schedules the completion of the running request that
// ends first.
func (e *engine) scheduleNextCompletion() {
	if len(e.running) == 0 {
		return
	}
	e.scheduleVersion++
	version := e.scheduleVersion
	remaining := max(0, e.running[0].finishProgress-e.progress)
	e.clock.after(time.Duration(remaining*float64(e.stepTime()))+time.Microsecond, func() {
		if version != e.scheduleVersion {
			return
		}
		e.updateProgress()
		for len(e.running) > 0 && e.running[0].finishProgress <= e.progress {
			r := heap.Pop(&e.running).(*request)
			e.batched--
			r.done(r.firstTokenAt)
		}
		for len(e.waiting) > 0 && e.batched < batchSize {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			e.arrivals--
			e.submit(next)
		}
		e.scheduleNextCompletion()
	})
}

// cachePrompt caches the blocks of a prompt and evicts the least recently used
// ones. It adds the first block last, so that a prefix outlives its
// continuations.
func (e *engine) cachePrompt(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element := e.cache[blocks[i]]; element != nil {
			e.lru.MoveToFront(element)
			continue
		}
		e.cache[blocks[i]] = e.lru.PushFront(blocks[i])
		e.events = append(e.events, routing.CacheEvent{Kind: routing.BlockStored, Hash: blocks[i]})
	}
	for e.lru.Len() > cacheCapacityBlocks {
		hash := e.lru.Remove(e.lru.Back()).(uint64)
		delete(e.cache, hash)
		e.events = append(e.events, routing.CacheEvent{Kind: routing.BlockEvicted, Hash: hash})
	}
}

// takeEvents returns the cache events since the previous call.
func (e *engine) takeEvents() routing.CacheEvents {
	batch := routing.CacheEvents{Upstream: e.id, Incarnation: 1, First: e.nextEventSequence, Events: e.events}
	e.nextEventSequence += uint64(len(e.events))
	e.events = nil
	return batch
}
