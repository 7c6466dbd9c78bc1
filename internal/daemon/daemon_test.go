package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/membership"
)

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against a break anywhere on the path from a caller to an announced
// upstream and back.
func TestStreamedAnswerEndToEnd(t *testing.T) {
	cfg := &config.Daemon{ID: "a1", FailureDomain: "a", Roles: []config.Role{config.RoleEntry}, Listen: config.Listen{
		Caller: freeAddress(t), Upstream: freeAddress(t), Platform: freeAddress(t),
	}, Drain: config.Drain{TimeoutMS: 10_000}}
	d, err := Start(cfg, zap.NewNop())
	require.NoError(t, err)
	engine, err := fake.StartEngine(fake.EngineConfig{Upstream: fake.Upstream{
		Announcement: membership.Announcement{ID: "e1", FailureDomain: "a", Services: []string{"m"}},
		Entries:      []string{cfg.Listen.Upstream},
	}})
	require.NoError(t, err)
	defer engine.Close()

	var body string
	require.Eventually(t, func() bool {
		req, _ := http.NewRequest(http.MethodPost, "http://"+cfg.Listen.Caller+"/v1/chat/completions",
			strings.NewReader(`{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"rug"}]}`))
		req.Header.Set("Authorization", "Bearer dev")
		resp, err := http.DefaultClient.Do(req)
		if err != nil || resp.StatusCode != http.StatusOK {
			return false
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		body = string(data)
		return err == nil
	}, 10*time.Second, 20*time.Millisecond)
	for i := range 4 {
		require.Contains(t, body, fake.Token("rug", i))
	}
	require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
	require.NoError(t, d.Shutdown(context.Background()))
}
