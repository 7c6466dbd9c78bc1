// Package bodybudget bounds the memory that the bodies of requests take in one
// process. Memory is reserved before bytes are read, so that a burst of large bodies
// cannot take the process over its limit.
//
// Invariants:
//   - The chunks of all bodies take at most the limit. Small bodies may use all of it,
//     large ones leave a part to them.
//   - The oldest body that is still being read can always read on, or the newest one
//     is refused until it can. Bodies therefore never wait for each other for good.
//   - A body whose sender is silent gives its memory up for one that needs it.
package bodybudget

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// chunkBytes is the unit in which memory is reserved and read. Bodies without a
	// declared length begin with minChunkBytes, because most of them are short.
	chunkBytes    = 64 << 10
	minChunkBytes = 4 << 10
	// SmallBytes is the size up to which a body is small.
	SmallBytes = chunkBytes
	// smallShare is the part of the budget that only small bodies use.
	smallShare = 0.125
	// overcommit is the ratio of the declared sizes of the large bodies that are
	// admitted to the memory for them. A body that arrives evenly takes half of its
	// size on average.
	overcommit = 2
	// retryInterval is the time after which a body that waits for others to give up
	// their memory asks one more of them.
	retryInterval = 100 * time.Millisecond
	// stallTime is the time without a byte after which a body gives its memory up if
	// another one needs it.
	stallTime = 500 * time.Millisecond
	// maxWait is how long a body waits for memory. A caller learns more from a refusal
	// than from a longer wait.
	maxWait = time.Second
)

var (
	// ErrFull is returned for a body that does not fit. The request has not run.
	ErrFull = errors.New("the memory for request bodies is used up")
	// ErrTooLarge is returned for a body that exceeds its limit.
	ErrTooLarge = errors.New("the body exceeds the limit")
)

// Budget is the memory for request bodies of one process. It is safe for concurrent
// use. A nil Budget has no limit.
type Budget struct {
	limit, large int64

	mu   sync.Mutex
	used int64
	// promised is the sum of the sizes that the large bodies may reach, byAccount
	// the part of each client account.
	promised  int64
	byAccount map[string]int64
	// reading holds the large bodies that are being read, the oldest first.
	reading []*Body
	// receiving holds the bodies that wait for bytes of their senders.
	receiving map[*Body]bool
	// changed is closed and replaced when memory is released.
	changed chan struct{}

	usedGauge metrics.Gauge
	refused   metrics.Counter
	// stalled counts the bodies that have given up their memory.
	stalled metrics.Counter
}

// New returns a budget of a number of bytes, or nil for 0, which means no limit.
func New(limit int64, registry metrics.Registry) *Budget {
	if limit <= 0 {
		return nil
	}
	b := &Budget{limit: limit, large: int64(float64(limit) * (1 - smallShare)), byAccount: map[string]int64{}, receiving: map[*Body]bool{}, changed: make(chan struct{}),
		usedGauge: metrics.GetOrRegisterGauge("bodies.bytes", registry), refused: metrics.GetOrRegisterCounter("bodies.refused", registry),
		stalled: metrics.GetOrRegisterCounter("bodies.stalled", registry)}
	metrics.GetOrRegisterGauge("bodies.limit_bytes", registry).Update(limit)
	return b
}

// Body is the body of one request. Its memory is reserved until Release.
type Body struct {
	budget  *Budget
	account string
	chunks  [][]byte
	size    int64
	// held is the reserved memory, promised the size that it may reach. Small bodies
	// promise nothing.
	held, promised int64
	// buffer is the memory that is reserved for the kernel while the body is read.
	buffer int64
	// refusedWhileReading is set if the body has to make room for others.
	refusedWhileReading bool
	// waitsSince is the time since which the body waits for bytes, interrupt ends a
	// read in progress.
	waitsSince time.Time
	interrupt  func()
}

// Options describes a body that is to be read.
type Options struct {
	// Declared is the length that the caller states, or -1.
	Declared int64
	// Limit is the largest accepted length.
	Limit int64
	// Account is the client account. While others have large bodies too, it gets at
	// most half of the budget once more than half is in use.
	Account string
	// Interrupt ends a read in progress, so that a body whose sender is silent can
	// give up its memory. It must not block. Nil means that it cannot be ended.
	Interrupt func()
	// Bulk, if set, is called if the declared length is BulkBytes or more and there is
	// memory for BulkBuffer bytes, which the kernel may then hold for the body.
	Bulk                  func()
	BulkBytes, BulkBuffer int64
}

// Read reads a body. It waits for memory that other bodies are about to release, for
// maxWait at most, and until ctx ends. The caller must call Release on the result.
func (b *Budget) Read(ctx context.Context, r io.Reader, o Options) (*Body, error) {
	if o.Declared > o.Limit {
		return nil, ErrTooLarge
	}
	body := &Body{budget: b, account: o.Account, interrupt: o.Interrupt}
	if err := b.admit(ctx, body, o.Declared); err != nil {
		return nil, err
	}
	if o.Bulk != nil && o.Declared >= o.BulkBytes && b.holdBuffer(body, o.BulkBuffer) {
		o.Bulk()
	}
	if err := body.read(ctx, r, o); err != nil {
		if body.gaveWay() {
			err = ErrFull
		}
		body.Release()
		return nil, err
	}
	b.finishReading(body)
	return body, nil
}

func (body *Body) read(ctx context.Context, r io.Reader, o Options) error {
	for {
		size := body.nextChunk(o)
		if size == 0 {
			return checkEnd(r)
		}
		if err := body.budget.reserve(ctx, body, size); err != nil {
			return err
		}
		chunk := make([]byte, size)
		n, err := body.receive(r, chunk)
		body.size += int64(n)
		if n > 0 {
			body.chunks = append(body.chunks, chunk[:n])
		}
		switch {
		case body.size > o.Limit:
			return ErrTooLarge
		case err == nil:
		case errors.Is(err, io.EOF) && o.Declared < 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		default:
			return err
		}
	}
}

// receive reads until the chunk is full or the reader fails. It returns io.EOF only at
// the end of the body: a body that was cut off must not look complete, which
// io.ReadFull does not tell apart.
func (body *Body) receive(r io.Reader, chunk []byte) (int, error) {
	n := 0
	for n < len(chunk) {
		body.startReceiving()
		read, err := r.Read(chunk[n:])
		body.endReceiving()
		n += read
		if err != nil && (n < len(chunk) || !errors.Is(err, io.EOF)) {
			return n, err
		}
	}
	return n, nil
}

func (body *Body) startReceiving() {
	b := body.budget
	if b == nil || body.interrupt == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receiving[body] = true
	body.waitsSince = time.Now()
}

func (body *Body) endReceiving() {
	b := body.budget
	if b == nil || body.interrupt == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receiving, body)
}

// gaveWay reports whether the body had to make room for others.
func (body *Body) gaveWay() bool {
	b := body.budget
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return body.refusedWhileReading
}

// reclaim makes the body whose sender has been silent longest give up its memory. It
// reports whether a body does so. The caller holds mu.
func (b *Budget) reclaim() bool {
	var found *Body
	limit := time.Now().Add(-stallTime)
	for body := range b.receiving {
		if !body.refusedWhileReading && body.waitsSince.Before(limit) && (found == nil || body.waitsSince.Before(found.waitsSince)) {
			found = body
		}
	}
	if found == nil {
		return false
	}
	found.refusedWhileReading = true
	b.stalled.Inc(1)
	found.interrupt()
	return true
}

// nextChunk returns the size of the next chunk, which is zero at the end of a declared
// length.
func (body *Body) nextChunk(o Options) int64 {
	if o.Declared >= 0 {
		return min(chunkBytes, o.Declared-body.size)
	}
	return min(max(body.size, minChunkBytes), chunkBytes, o.Limit+1-body.size)
}

// checkEnd reads the end of a body whose bytes have all arrived, so that the caller's
// connection can be used again.
func checkEnd(r io.Reader) error {
	var extra [1]byte
	if _, err := r.Read(extra[:]); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// admit accepts a body that is to be read, unless the large bodies that are admitted
// may take all memory.
func (b *Budget) admit(ctx context.Context, body *Body, declared int64) error {
	if b == nil || declared <= SmallBytes {
		return nil
	}
	return b.awaitMemory(ctx, func() (bool, error) {
		switch {
		case b.promise(body, declared):
			return true, nil
		case !b.reclaim():
			return false, ErrFull
		}
		return false, nil
	})
}

// promise adds to the size that a large body may reach, and makes a small body a large
// one. The caller holds mu.
func (b *Budget) promise(body *Body, size int64) bool {
	total, account := b.promised+size, b.byAccount[body.account]+size
	available := b.large * overcommit
	_, known := b.byAccount[body.account]
	alone := len(b.byAccount) == 0 || known && len(b.byAccount) == 1
	if body.promised+size > b.large || total > available || !alone && total > available/2 && account > available/2 {
		return false
	}
	if body.promised == 0 {
		b.reading = append(b.reading, body)
	}
	b.promised, b.byAccount[body.account] = total, account
	body.promised += size
	return true
}

// reserve reserves memory for the next chunk of a body.
func (b *Budget) reserve(ctx context.Context, body *Body, size int64) error {
	if b == nil {
		return nil
	}
	return b.awaitMemory(ctx, func() (bool, error) { return b.tryReserve(body, size) })
}

// awaitMemory calls try, which holds mu, until it succeeds or fails, for maxWait at
// most and until ctx ends.
func (b *Budget) awaitMemory(ctx context.Context, try func() (bool, error)) error {
	var waitEnd time.Time
	b.mu.Lock()
	for {
		ok, err := try()
		if !ok && err == nil && !waitEnd.IsZero() && time.Now().After(waitEnd) {
			err = ErrFull
		}
		if ok || err != nil {
			if err != nil {
				b.refused.Inc(1)
			}
			b.mu.Unlock()
			return err
		}
		if waitEnd.IsZero() {
			waitEnd = time.Now().Add(maxWait)
		}
		changed := b.changed
		b.mu.Unlock()
		if err := waitForMemory(ctx, changed); err != nil {
			return err
		}
		b.mu.Lock()
	}
}

// waitForMemory waits until changed is closed or retryInterval has passed.
func waitForMemory(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// tryReserve reserves memory, or returns false if the body has to wait. The caller
// holds mu.
func (b *Budget) tryReserve(body *Body, size int64) (bool, error) {
	if body.promised == 0 && body.held+size <= SmallBytes {
		switch {
		case b.used+size <= b.limit:
			b.hold(body, size)
			return true, nil
		case b.reclaim():
			return false, nil
		}
		return false, ErrFull
	}
	if body.refusedWhileReading {
		return false, ErrFull
	}
	if body.held+size > body.promised && !b.promise(body, body.held+size-body.promised) {
		if b.reclaim() {
			return false, nil
		}
		return false, ErrFull
	}
	oldest := b.reading[0]
	kept := int64(0)
	if oldest != body {
		kept = max(oldest.promised-oldest.held, 0)
	}
	if b.used+size+kept <= b.large {
		b.hold(body, size)
		return true, nil
	}
	if b.reclaim() {
		return false, nil
	}
	if oldest == body && !b.completeBodies() {
		return false, b.refuseNewest(body)
	}
	return false, nil
}

// completeBodies reports whether a body that has been read holds memory, which it
// releases at the end of its request. The caller holds mu.
func (b *Budget) completeBodies() bool {
	reading := int64(0)
	for _, body := range b.reading {
		reading += body.held + body.buffer
	}
	return b.used > reading
}

// refuseNewest makes the newest body that is being read and holds memory give it up
// for the oldest one. It returns ErrFull if the oldest one has all memory of large
// bodies. The caller holds mu.
func (b *Budget) refuseNewest(oldest *Body) error {
	if len(b.reading) == 1 {
		return ErrFull
	}
	for _, body := range slices.Backward(b.reading) {
		if body != oldest && body.held > 0 && !body.refusedWhileReading {
			body.refusedWhileReading = true
			b.notify()
			return nil
		}
	}
	return nil
}

// holdBuffer reserves memory for the kernel while a body is read, if it is free.
func (b *Budget) holdBuffer(body *Body, size int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+size > b.large/2 {
		// A larger buffer must not keep a body out.
		return false
	}
	body.buffer = size
	b.used += size
	return true
}

func (b *Budget) hold(body *Body, size int64) {
	body.held += size
	b.used += size
	b.usedGauge.Update(b.used)
}

// notify wakes the bodies that wait. The caller holds mu.
func (b *Budget) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// finishReading removes a body that has been read from those that are being read, and
// gives back what was reserved for more bytes than it has.
func (b *Budget) finishReading(body *Body) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shrink(body, body.size)
}

// shrink reduces the reserved memory of a body to size. The caller holds mu.
func (b *Budget) shrink(body *Body, size int64) {
	b.used -= body.held + body.buffer - size
	body.held, body.buffer = size, 0
	b.usedGauge.Update(b.used)
	b.notify()
	if body.promised == 0 {
		return
	}
	b.reading = slices.DeleteFunc(b.reading, func(other *Body) bool { return other == body })
	b.promised -= body.promised - size
	b.byAccount[body.account] -= body.promised - size
	body.promised = size
	if b.byAccount[body.account] == 0 {
		delete(b.byAccount, body.account)
	}
}

// Release gives back the memory of a body. Later calls have no effect.
func (body *Body) Release() {
	if body == nil {
		return
	}
	b := body.budget
	body.chunks = nil
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shrink(body, 0)
}

// Size returns the length of the body.
func (body *Body) Size() int64 { return body.size }

// Chunks returns the parts of the body in order. They must not be modified.
func (body *Body) Chunks() [][]byte { return body.chunks }

// Reader returns a reader of the whole body.
func (body *Body) Reader() io.Reader {
	if len(body.chunks) == 1 {
		return bytes.NewReader(body.chunks[0])
	}
	readers := make([]io.Reader, len(body.chunks))
	for i, chunk := range body.chunks {
		readers[i] = bytes.NewReader(chunk)
	}
	return io.MultiReader(readers...)
}

// Bytes returns the body in one piece. It must not be modified.
func (body *Body) Bytes() []byte {
	if len(body.chunks) > 1 {
		body.chunks = [][]byte{slices.Concat(body.chunks...)}
	}
	if len(body.chunks) == 0 {
		return nil
	}
	return body.chunks[0]
}
