// Package tracing keeps the spans of recent requests in memory, so that an
// operator can see where a request spent its time and why it was routed as it
// was. Trace context is propagated in W3C headers.
package tracing

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// DefaultCapacity is the number of spans that are kept. At five spans per
// request and 21 requests per second and entry instance, they cover about five
// minutes.
const DefaultCapacity = 32_768

// requestAttribute is the span attribute by which ByRequest finds a trace.
const requestAttribute = "request.id"

// Span is a finished span in the form in which it is encoded as JSON.
type Span struct {
	TraceID    string            `json:"traceId"`
	SpanID     string            `json:"spanId"`
	ParentID   string            `json:"parentId,omitempty"`
	Name       string            `json:"name"`
	Start      time.Time         `json:"start"`
	DurationUS int64             `json:"durationMicros"`
	Attributes map[string]string `json:"attributes,omitempty"`
	Error      string            `json:"error,omitempty"`
}

// Recorder is a span processor that keeps the latest spans in a ring buffer.
type Recorder struct {
	mu    sync.Mutex
	spans []sdk.ReadOnlySpan
	next  int
}

// NewRecorder returns a recorder that keeps the given number of spans.
func NewRecorder(capacity int) *Recorder {
	return &Recorder{spans: make([]sdk.ReadOnlySpan, capacity)}
}

// Provider returns a tracer provider that records into r.
func (r *Recorder) Provider() *sdk.TracerProvider {
	return sdk.NewTracerProvider(sdk.WithSpanProcessor(r))
}

// InstallPropagator sets W3C trace context as the process-wide propagation
// format.
func InstallPropagator() { otel.SetTextMapPropagator(propagation.TraceContext{}) }

// OnStart implements sdk.SpanProcessor.
func (r *Recorder) OnStart(context.Context, sdk.ReadWriteSpan) {}

// OnEnd implements sdk.SpanProcessor.
func (r *Recorder) OnEnd(s sdk.ReadOnlySpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans[r.next] = s
	r.next = (r.next + 1) % len(r.spans)
}

// Shutdown implements sdk.SpanProcessor.
func (r *Recorder) Shutdown(context.Context) error { return nil }

// ForceFlush implements sdk.SpanProcessor.
func (r *Recorder) ForceFlush(context.Context) error { return nil }

// ByRequest returns the spans of a request, ordered by start time.
func (r *Recorder) ByRequest(requestID string) []Span {
	all := r.snapshot()
	traces := map[trace.TraceID]bool{}
	for _, s := range all {
		for _, a := range s.Attributes() {
			if string(a.Key) == requestAttribute && a.Value.AsString() == requestID {
				traces[s.SpanContext().TraceID()] = true
			}
		}
	}
	var spans []Span
	for _, s := range all {
		if traces[s.SpanContext().TraceID()] {
			spans = append(spans, newSpan(s))
		}
	}
	sort.SliceStable(spans, func(i, j int) bool { return spans[i].Start.Before(spans[j].Start) })
	return spans
}

// Recent returns up to limit local root spans, the newest first.
func (r *Recorder) Recent(limit int) []Span {
	var spans []Span
	for _, s := range r.snapshot() {
		if !s.Parent().IsValid() || s.Parent().IsRemote() {
			spans = append(spans, newSpan(s))
		}
	}
	sort.SliceStable(spans, func(i, j int) bool { return spans[i].Start.After(spans[j].Start) })
	return spans[:min(limit, len(spans))]
}

// snapshot returns the recorded spans in no particular order.
func (r *Recorder) snapshot() []sdk.ReadOnlySpan {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]sdk.ReadOnlySpan, 0, len(r.spans))
	for _, s := range r.spans {
		if s != nil {
			all = append(all, s)
		}
	}
	return all
}

func newSpan(s sdk.ReadOnlySpan) Span {
	span := Span{
		TraceID: s.SpanContext().TraceID().String(), SpanID: s.SpanContext().SpanID().String(), Name: s.Name(),
		Start: s.StartTime(), DurationUS: s.EndTime().Sub(s.StartTime()).Microseconds(),
		Error: s.Status().Description, Attributes: make(map[string]string, len(s.Attributes())),
	}
	if s.Parent().IsValid() {
		span.ParentID = s.Parent().SpanID().String()
	}
	for _, a := range s.Attributes() {
		span.Attributes[string(a.Key)] = a.Value.String()
	}
	return span
}
