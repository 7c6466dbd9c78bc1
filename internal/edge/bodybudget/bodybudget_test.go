package bodybudget

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

const mib = 1 << 20

func content(size int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(i * 7 >> 3)
	}
	return b
}

func read(t *testing.T, b *Budget, size int, declared int64) *Body {
	body, err := b.Read(t.Context(), bytes.NewReader(content(size)), Options{Declared: declared, Limit: 4 * mib})
	require.NoError(t, err)
	return body
}

// Guards against a body that is changed, cut or extended on its way through the chunks,
// and against memory that is not given back.
func TestBodiesAreReadWhole(t *testing.T) {
	for _, b := range []*Budget{nil, New(16*mib, metrics.NewRegistry())} {
		for _, size := range []int{0, 1, minChunkBytes - 1, minChunkBytes, minChunkBytes + 1, SmallBytes - 1, SmallBytes, SmallBytes + 1, 3*chunkBytes + 5, 4 * mib} {
			for _, declared := range []int64{int64(size), -1} {
				body := read(t, b, size, declared)
				require.EqualValues(t, size, body.Size())
				got, err := io.ReadAll(body.Reader())
				require.NoError(t, err)
				require.True(t, bytes.Equal(content(size), got), "size %d", size)
				require.True(t, bytes.Equal(content(size), body.Bytes()), "size %d", size)
				if b != nil {
					require.EqualValues(t, size, b.used)
				}
				body.Release()
				body.Release()
				if b != nil {
					require.Zero(t, b.used)
					require.Zero(t, b.promised)
					require.Empty(t, b.byAccount)
				}
			}
		}
	}
}

// Guards against a body that was cut off and counts as complete, and against one that
// exceeds the limit.
func TestUnfinishedAndOversizedBodies(t *testing.T) {
	b := New(16*mib, metrics.NewRegistry())
	for _, test := range []struct {
		name     string
		reader   io.Reader
		declared int64
		want     error
	}{
		{"chunked, cut off", io.MultiReader(bytes.NewReader(content(100)), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, io.ErrUnexpectedEOF},
		{"declared, cut off", bytes.NewReader(content(100)), 101, io.ErrUnexpectedEOF},
		{"large, connection lost", io.MultiReader(bytes.NewReader(content(mib)), iotest.ErrReader(io.ErrClosedPipe)), 2 * mib, io.ErrClosedPipe},
		{"chunked over the limit", bytes.NewReader(content(4*mib + 1)), -1, ErrTooLarge},
		{"declared over the limit", bytes.NewReader(nil), 4*mib + 1, ErrTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := b.Read(t.Context(), test.reader, Options{Declared: test.declared, Limit: 4 * mib})
			require.ErrorIs(t, err, test.want)
			require.Zero(t, b.used)
			require.Empty(t, b.reading)
		})
	}
}

// Guards against large bodies that leave no memory to small ones, and against a client
// account that leaves none to the others.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	b := New(16*mib, metrics.NewRegistry())
	admit := func(account string) (bodies []*Body) {
		for {
			body := &Body{budget: b, account: account}
			if b.admit(t.Context(), body, 4*mib) != nil {
				return bodies
			}
			bodies = append(bodies, body)
		}
	}
	first := admit("a")
	require.Len(t, first, 7, "twice 14 MiB")
	first[0].Release()
	require.Len(t, admit("b"), 1)
	first[1].Release()
	require.Empty(t, admit("a"), "more than half, beside another account")
	require.Len(t, admit("b"), 1)
	b.used = b.large
	read(t, b, 1000, 1000).Release()
	read(t, b, 1000, -1).Release()
	b.used = b.limit
	_, err := b.Read(t.Context(), bytes.NewReader(content(1000)), Options{Declared: 1000, Limit: 4 * mib})
	require.ErrorIs(t, err, ErrFull)
}

// slowReader delivers a body in pieces with pauses.
type slowReader struct {
	data  []byte
	pause time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	n := copy(p[:min(len(p), 32<<10)], r.data)
	r.data = r.data[n:]
	return n, nil
}

// Guards against bodies that exceed the memory together, and against bodies that wait
// for each other until their deadlines: many begin at the same time, declared or not.
func TestBurstStaysWithinTheBudget(t *testing.T) {
	for seed := range uint64(5) {
		b := New(8*mib, metrics.NewRegistry())
		var wg sync.WaitGroup
		var mu sync.Mutex
		served, refused := 0, 0
		highest := int64(0)
		for i := range 60 {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			size := 1 + random.IntN(2*mib)
			declared := int64(size)
			if random.IntN(3) == 0 {
				declared = -1
			}
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				reader := &slowReader{content(size), time.Duration(random.IntN(2000)) * time.Microsecond}
				body, err := b.Read(ctx, reader, Options{Declared: declared, Limit: 2 * mib, Account: []string{"a", "b"}[i%2]})
				mu.Lock()
				defer mu.Unlock()
				b.mu.Lock()
				highest = max(highest, b.used)
				b.mu.Unlock()
				if errors.Is(err, ErrFull) {
					refused++
					return
				}
				require.NoError(t, err)
				served++
				time.AfterFunc(time.Duration(random.IntN(20))*time.Millisecond, body.Release)
			})
		}
		wg.Wait()
		require.LessOrEqual(t, highest, b.limit)
		require.Greater(t, served, 10, "seed %d: %d refused", seed, refused)
		require.Eventually(t, func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.used == 0 && b.promised == 0 }, time.Second, time.Millisecond)
	}
}

// stalledReader delivers some bytes and then none until it is interrupted.
type stalledReader struct {
	data        []byte
	interrupted chan struct{}
	interrupt   func()
}

func newStalledReader(size int) *stalledReader {
	r := &stalledReader{data: content(size), interrupted: make(chan struct{})}
	r.interrupt = sync.OnceFunc(func() { close(r.interrupted) })
	return r
}

func (r *stalledReader) Read(p []byte) (int, error) {
	if len(r.data) > 0 {
		n := copy(p, r.data)
		r.data = r.data[n:]
		return n, nil
	}
	<-r.interrupted
	return 0, io.ErrClosedPipe
}

// Guards against stalled bodies that hold all memory for as long as they like, and
// against more of them that give up their memory than needed.
func TestStalledBodiesGiveWay(t *testing.T) {
	const limit = 2 * mib
	for _, test := range []struct {
		name                  string
		stalled, needed, most int64
	}{
		{"small bodies for a small one", SmallBytes, 1000, 1},
		{"large bodies for a large one", 512 << 10, mib, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := metrics.NewRegistry()
			b := New(limit, registry)
			locked := func(f func() bool) bool { b.mu.Lock(); defer b.mu.Unlock(); return f() }
			results := make(chan error, 100)
			full := func() bool { return b.used+chunkBytes > b.limit || b.promised+test.stalled > b.large*overcommit }
			for n := 1; !locked(full) && n < cap(results); n++ {
				reader := newStalledReader(int(test.stalled) - 1)
				t.Cleanup(reader.interrupt)
				go func() {
					_, err := b.Read(context.Background(), reader, Options{Declared: test.stalled, Limit: 4 * mib, Interrupt: reader.interrupt})
					results <- err
				}()
				// A body that gets no memory for all of its bytes is refused.
				require.Eventually(t, func() bool { return len(results) > 0 || locked(func() bool { return len(b.receiving) == n }) }, 2*maxWait, time.Millisecond)
				if len(results) > 0 {
					<-results
					break
				}
			}
			time.Sleep(stallTime)
			read(t, b, int(test.needed), test.needed).Release()
			require.ErrorIs(t, <-results, ErrFull)
			gave := registry.Get("bodies.stalled").(metrics.Counter).Count()
			require.Positive(t, gave)
			require.LessOrEqual(t, gave, test.most)
		})
	}
}

// Guards against a body that gives up its memory although its bytes arrive.
func TestArrivingBodyKeepsItsMemory(t *testing.T) {
	b := New(2*mib, metrics.NewRegistry())
	arrived := make(chan error, 1)
	go func() {
		reader := &slowReader{content(mib + 512<<10), 20 * time.Millisecond}
		body, err := b.Read(context.Background(), reader, Options{Declared: mib + 512<<10, Limit: 2 * mib, Interrupt: func() {}})
		body.Release()
		arrived <- err
	}()
	time.Sleep(stallTime)
	for range 3 {
		_, err := b.Read(t.Context(), bytes.NewReader(content(mib)), Options{Declared: mib, Limit: 2 * mib})
		require.True(t, err == nil || errors.Is(err, ErrFull))
	}
	require.NoError(t, <-arrived)
}

// Guards against buffers of the kernel that are in no budget, or stay in it.
func TestBulkBufferIsReserved(t *testing.T) {
	b := New(8*mib, metrics.NewRegistry())
	calls := 0
	o := Options{Declared: mib, Limit: 4 * mib, BulkBytes: mib, BulkBuffer: mib / 2, Bulk: func() {
		calls++
		require.EqualValues(t, mib/2, b.used)
	}}
	body, err := b.Read(t.Context(), bytes.NewReader(content(mib)), o)
	require.NoError(t, err)
	require.Equal(t, 1, calls)
	require.EqualValues(t, mib, b.used, "the buffer is free again")
	body.Release()
	_, err = b.Read(t.Context(), bytes.NewReader(nil), o)
	require.Error(t, err)
	require.Zero(t, b.used)
	require.Equal(t, 2, calls)
	b.used = b.large / 2
	body, err = b.Read(t.Context(), bytes.NewReader(content(mib)), o)
	require.NoError(t, err)
	body.Release()
	o.Declared = -1
	b.used = 0
	body, err = b.Read(t.Context(), bytes.NewReader(content(mib)), o)
	require.NoError(t, err)
	body.Release()
	require.Equal(t, 2, calls, "without free memory, or a declared length")
}
