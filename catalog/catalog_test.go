package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func valid() Content {
	return Content{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a.example", PathPrefix: "/x/", Timeout: time.Second, Targets: []Target{{"s1", 1}}},
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/", Timeout: time.Second, Targets: []Target{{"s1", 3}, {"s2", 1}}},
			{Name: "other host", Host: "b.example", PathPrefix: "/x/", Timeout: time.Second, Targets: []Target{{"s2", 1}}},
		},
		Services: []Service{{Name: "s1"}, {Name: "s2"}},
		Accounts: []Account{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
	}
}

// Guards against a request that is served by a route with a shorter prefix, of
// another host, or of a path that only begins alike.
func TestLongestPrefixOfTheHost(t *testing.T) {
	c, err := New(valid())
	require.NoError(t, err)
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/z", "short"},
		{"a.example", "/x/", "short"},
		{"b.example", "/x/y/1", "other host"},
		{"a.example", "/xy/", ""},
		{"a.example", "/x", ""},
		{"c.example", "/x/", ""},
	} {
		r := c.Route(test.host, test.path)
		if test.want == "" {
			require.Nil(t, r, "%s%s", test.host, test.path)
			continue
		}
		require.NotNil(t, r, "%s%s", test.host, test.path)
		require.Equal(t, test.want, r.Name)
	}
}

// Guards against a catalog that is accepted although requests could not be
// served by it, or by two rules at once.
func TestRefusesInvalidCatalogs(t *testing.T) {
	for name, spoil := range map[string]func(*Content){
		"unknown service":    func(c *Content) { c.Routes[0].Targets[0].Service = "absent" },
		"same place":         func(c *Content) { c.Routes[1].PathPrefix = "/x/" },
		"no weight":          func(c *Content) { c.Routes[0].Targets = []Target{{"s1", 0}} },
		"no target":          func(c *Content) { c.Routes[0].Targets = nil },
		"negative weight":    func(c *Content) { c.Routes[1].Targets[0].Weight = -1 },
		"no timeout":         func(c *Content) { c.Routes[0].Timeout = 0 },
		"shared key":         func(c *Content) { c.Accounts[1].Keys = []string{"k2"} },
		"prefix not closed":  func(c *Content) { c.Routes[0].PathPrefix = "/x" },
		"service twice":      func(c *Content) { c.Services[1].Name = "s1" },
		"service not named":  func(c *Content) { c.Services[0].Name = "" },
		"route without host": func(c *Content) { c.Routes[0].Host = "" },
	} {
		content := valid()
		spoil(&content)
		_, err := New(content)
		require.Error(t, err, name)
	}
	_, err := New(valid())
	require.NoError(t, err)
}

// Guards against weights that are not followed over the whole range.
func TestTargetFollowsWeights(t *testing.T) {
	c, err := New(valid())
	require.NoError(t, err)
	r := c.Route("a.example", "/x/y/")
	require.Equal(t, "s1", r.Target(0))
	require.Equal(t, "s1", r.Target(0.7499))
	require.Equal(t, "s2", r.Target(0.75))
	require.Equal(t, "s2", r.Target(0.9999))
}

// Guards against keys of other accounts and public routes that ask for a key.
func TestKeys(t *testing.T) {
	c, err := New(valid())
	require.NoError(t, err)
	require.Equal(t, "one", c.Account("k2").Name)
	require.Nil(t, c.Account("unknown"))
	require.True(t, c.RequiresKey(c.Route("a.example", "/x/")))
	require.False(t, c.RequiresKey(&Route{Public: true}))
	none := valid()
	none.Accounts = nil
	c, err = New(none)
	require.NoError(t, err)
	require.False(t, c.RequiresKey(c.Route("a.example", "/x/")))
}

// Guards against a stream that may not be resumed being run twice.
func TestMayRepeat(t *testing.T) {
	require.True(t, (&Route{Kind: Idempotent}).MayRepeat())
	require.False(t, (&Route{Kind: NonIdempotent}).MayRepeat())
	require.False(t, (&Route{Kind: Stream}).MayRepeat())
	require.True(t, (&Route{Kind: Stream, Resumable: true}).MayRepeat())
}
