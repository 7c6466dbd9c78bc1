package tracing

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// Guards against mixing the spans of different requests, and against a record
// that grows without bound.
func TestRecorderFindsSpansOfRequest(t *testing.T) {
	r := NewRecorder(8)
	tracer := r.Provider().Tracer("test")
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		ctx, root := tracer.Start(t.Context(), "caller", trace.WithAttributes(attribute.String(requestAttribute, id)))
		_, child := tracer.Start(ctx, "dispatch")
		child.End()
		root.End()
	}
	require.Empty(t, r.ByRequest("a"), "the oldest spans are overwritten")
	spans := r.ByRequest("e")
	require.Len(t, spans, 2)
	require.Equal(t, "caller", spans[0].Name)
	require.Equal(t, spans[0].SpanID, spans[1].ParentID)
	recent := r.Recent(2)
	require.Len(t, recent, 2)
	require.Equal(t, "e", recent[0].Attributes[requestAttribute])
}
