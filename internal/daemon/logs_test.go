package daemon

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/claim"
	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/feed"
	"github.com/bluebellfield/bluebellfield/internal/peer"
)

// newNonMember returns the logs of an instance x with an empty data folder,
// and the network of a voter y that x can reach.
func newNonMember(t *testing.T) (*globalClient, *hostedLogs, *peer.Network) {
	networks := map[string]*peer.Network{}
	listeners := map[string]net.Listener{}
	addresses := map[string]string{}
	for _, id := range []string{"x", "y"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners[id], addresses[id] = l, l.Addr().String()
	}
	for id, l := range listeners {
		n := peer.Listen(l, peer.Options{ID: id, Addresses: addresses, Logger: zap.NewNop()})
		t.Cleanup(func() { _ = n.Close() })
		networks[id] = n
	}
	cfg := &config.Daemon{
		ID: "x", DataFolder: t.TempDir(), Roles: []config.Role{config.RoleControl},
		Logs: config.Logs{Global: []string{"x", "y"}},
	}
	l, err := openLogs(cfg, networks["x"], 0, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.close() })
	return &globalClient{cfg: cfg, network: networks["x"], local: l.global}, l, networks["y"]
}

// Guards against an instance that lost its data folder rejecting every
// command of the global log although it can reach a voter.
func TestStrangerProposesThroughVoters(t *testing.T) {
	global, _, voter := newNonMember(t)
	voter.Handle(channelPropose, func(_ context.Context, _ string, command []byte) ([]byte, error) {
		return append([]byte("decided "), command...), nil
	})
	result, err := global.Propose(t.Context(), []byte("c"))
	require.NoError(t, err)
	require.Equal(t, "decided c", string(result))
}

// Guards against a lagging replica reporting a claim that it has not applied
// yet as one that did not run.
func TestLookupNeedsCurrentState(t *testing.T) {
	global, l, voter := newNonMember(t)
	key := claim.Key{1}
	payload, err := proto.Marshal(&feed.LookupRequest{Key: key[:]})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = l.serveLookup(ctx, "", payload)
	require.Error(t, err)

	voter.Handle(channelClaim, func(context.Context, string, []byte) ([]byte, error) {
		return encodeLookup(claim.Record{State: claim.StateDone}, true)
	})
	c := &claimer{global: global, logs: l, entry: "x", logger: zap.NewNop()}
	reply, err := c.lookup(t.Context(), payload)
	require.NoError(t, err)
	require.True(t, reply.Found)
}
