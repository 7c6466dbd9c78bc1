package entry

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against logs from which it does not follow that two requests whose
// upstreams ended are copies of one, or have a part of their prompts in common.
func TestBrokenSendsNameTheRequest(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	u := newUpstream(t, "u", resetConnection)
	_, server := newLoggedEntry(t, zap.New(core), u.record("app", ""))
	withParts := func(r *http.Request) { r.Header.Set("Parts", "system,subject,own") }
	for _, path := range []string{"/order/same", "/order/same", "/order/other"} {
		require.Equal(t, http.StatusBadGateway, sendRequest(t, server, path, withParts).status)
	}
	var digests []any
	for _, line := range logs.FilterMessage("request").All() {
		fields := line.ContextMap()
		require.Equal(t, []any{"system", "subject", "own"}, fields["parts"])
		digests = append(digests, fields["digest"])
	}
	require.Len(t, digests, 3)
	require.NotEmpty(t, digests[0])
	require.Equal(t, digests[0], digests[1])
	require.NotEqual(t, digests[0], digests[2])
}
