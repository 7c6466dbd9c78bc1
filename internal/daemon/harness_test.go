package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/settings"
)

// fakeNetwork answers calls with a function and drops sent messages.
type fakeNetwork struct {
	call func(ctx context.Context, to, channel string, payload []byte) ([]byte, error)

	mu    sync.Mutex
	calls []string
}

func (n *fakeNetwork) Send(string, string, []byte) bool { return true }
func (n *fakeNetwork) Handle(string, peer.Handler)      {}

func (n *fakeNetwork) Call(ctx context.Context, to, channel string, payload []byte) ([]byte, error) {
	n.mu.Lock()
	n.calls = append(n.calls, to)
	n.mu.Unlock()
	return n.call(ctx, to, channel, payload)
}

func networkFault(outcome fault.Outcome) error {
	return fault.New(fault.Unavailable, fault.Location{Step: "call"}, outcome, "the call failed")
}

// testConfig returns the configuration of an entry without a data folder in
// failure domain a. The voters of the global log are in a, b and c.
func testConfig() *config.Daemon {
	cfg := &config.Daemon{ID: "e1", FailureDomain: "a", Roles: []config.Role{config.RoleEntry}}
	cfg.Logs.Global = []string{"vc", "va", "vb"}
	for id, domain := range map[string]string{"e1": "a", "va": "a", "vb": "b", "vc": "c"} {
		cfg.Peers = append(cfg.Peers, config.Peer{ID: id, FailureDomain: domain, UpstreamAddress: id + ":1"})
	}
	return cfg
}

func setting(path, key string, v settings.Value) settings.Op {
	return settings.Op{Op: settings.OpSet, Path: path, Key: key, Value: v}
}

func keyHash(key string) settings.Value {
	sum := sha256.Sum256([]byte(key))
	return settings.List(hex.EncodeToString(sum[:]))
}

// testOps configures a paying and a free account, two model services and a
// plain service.
func testOps() []settings.Op {
	return []settings.Op{
		setting("/accounts/rug", settings.KeyClass, settings.Text(settings.ClassPaying)),
		setting("/accounts/rug", settings.KeyKeyHashes, keyHash("rug-key")),
		setting("/accounts/visitor", settings.KeyKeyHashes, keyHash("visitor-key")),
		setting("/services/rug-model", settings.KeyKind, settings.Text(settings.KindModel)),
		setting("/services/rug-model", settings.KeyModel, settings.Text("rug/7b")),
		setting("/services/small-model", settings.KeyKind, settings.Text(settings.KindModel)),
		setting("/services/rug-model", settings.KeyFallbackService, settings.Text("small-model")),
		setting("/services/wash", settings.KeyRoutes, settings.List("/wash/", "POST /orders")),
		setting("/services/wash", settings.KeyReplayContract, settings.List("503")),
	}
}

func testTree(t require.TestingT, ops ...settings.Op) *settings.Tree {
	store := settings.New()
	result := store.Apply(settings.Change{ID: "test", At: time.Unix(1, 0), Ops: append(testOps(), ops...)})
	require.Equal(t, settings.Applied, result.Code, result.Errors)
	return store.Tree()
}

// Guards against proposing a command twice: another voter is called only if
// the previous one proved that it proposed nothing.
func TestGlobalProposal(t *testing.T) {
	cases := []struct {
		name    string
		answers []error
		called  []string
		outcome fault.Outcome
	}{
		{"first voter", []error{nil}, []string{"va"}, ""},
		{"second voter", []error{networkFault(fault.NotRun), nil}, []string{"va", "vc"}, ""},
		{"none reached", []error{networkFault(fault.NotRun), networkFault(fault.NotRun), networkFault(fault.NotRun)}, []string{"va", "vc", "vb"}, fault.NotRun},
		{"unknown outcome stops", []error{networkFault(fault.Unknown)}, []string{"va"}, fault.Unknown},
		{"unknown after not-run", []error{networkFault(fault.NotRun), networkFault(fault.Unknown)}, []string{"va", "vc"}, fault.Unknown},
		{"error without an outcome", []error{context.DeadlineExceeded}, []string{"va"}, fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next := 0
			network := &fakeNetwork{call: func(_ context.Context, _, channel string, _ []byte) ([]byte, error) {
				require.Equal(t, channelPropose, channel)
				next++
				return []byte("result"), c.answers[next-1]
			}}
			g := &globalClient{cfg: testConfig(), network: network}
			_, err := g.Propose(t.Context(), []byte("command"))
			require.Equal(t, c.called, network.calls)
			if c.outcome == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, c.outcome, fault.OutcomeOf(err))
		})
	}
	cfg := testConfig()
	cfg.Logs.Global = nil
	_, err := (&globalClient{cfg: cfg}).Propose(t.Context(), nil)
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
}
