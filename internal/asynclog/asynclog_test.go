package asynclog

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedOutput blocks writes until open is closed.
type blockedOutput struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

func (b *blockedOutput) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.String()
}

// Guards against callers that block because nothing reads the log output.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	w := New(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			_, err := w.Write([]byte("line\n"))
			require.NoError(t, err)
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocked on the output")
	}
	require.Positive(t, w.Dropped())
	require.Error(t, w.Sync(), "a blocked output is reported, not waited for")
	close(out.open)
	require.Eventually(t, func() bool { return strings.Contains(out.text(), "log lines dropped") }, 5*time.Second, 10*time.Millisecond)
}

// Guards against an unlimited log volume: lines above the rate limit are dropped.
func TestRateIsLimited(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	close(out.open)
	w := New(out)
	for range 3 * burstLines {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.NoError(t, w.Sync())
	lines := strings.Count(out.text(), "line\n")
	require.LessOrEqual(t, lines, 2*burstLines)
	require.GreaterOrEqual(t, lines, linesPerSecond)
}

// Guards against lines that are reordered, mixed or lost below the limits.
func TestLinesKeepContentAndOrder(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	close(out.open)
	w := New(out)
	var want strings.Builder
	for n := range 200 {
		line := strings.Repeat("x", n) + "\n"
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		require.NoError(t, err)
	}
	require.NoError(t, w.Sync())
	require.Equal(t, want.String(), out.text())
}

// BenchmarkRequestLine measures the CPU time to encode and write the log line of
// one request.
func BenchmarkRequestLine(b *testing.B) {
	out := New(io.Discard)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, zap.InfoLevel)
	logger := zap.New(core).With(zap.String("instance", "front-1"))
	for b.Loop() {
		logger.Info("request", zap.String("request", "9c41d07be2a35f68"), zap.String("outcome", "served"), zap.Int("status", 200), zap.Int64("ms", 1341),
			zap.Uint64("catalog", 116), zap.String("route", "r-2yhvz3p"), zap.String("account", "hule930"), zap.String("service", "huvo11a"),
			zap.String("model", "daka510000"), zap.Int("prompt", 1460), zap.Int("answer", 80), zap.Int64("firstMs", 176), zap.Int64("gapMs", 125),
			zap.Any("sends", []map[string]any{{"upstream": "i-08d80464a9", "group": "g18y6g", "result": "answered", "ms": 1341}}))
	}
}
