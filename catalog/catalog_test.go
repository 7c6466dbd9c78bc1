package catalog

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/enginemodel"
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

// engines sets the engines of a service.
func engines(e enginemodel.Engine) func(*Content) {
	return func(c *Content) { c.Services[0].Engine = &e }
}

// Guards against routing a request by a shorter prefix, to another host's
// route, or by a prefix that does not end at a path segment.
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

// Guards against accepting a catalog that leaves requests without a service or
// that is ambiguous.
func TestRefusesInvalidCatalogs(t *testing.T) {
	for name, modify := range map[string]func(*Content){
		"unknown service":    func(c *Content) { c.Routes[0].Targets[0].Service = "absent" },
		"same prefix":        func(c *Content) { c.Routes[1].PathPrefix = "/x/" },
		"no weight":          func(c *Content) { c.Routes[0].Targets = []Target{{"s1", 0}} },
		"no target":          func(c *Content) { c.Routes[0].Targets = nil },
		"negative weight":    func(c *Content) { c.Routes[1].Targets[0].Weight = -1 },
		"no timeout":         func(c *Content) { c.Routes[0].Timeout = 0 },
		"shared key":         func(c *Content) { c.Accounts[1].Keys = []string{"k2"} },
		"no trailing slash":  func(c *Content) { c.Routes[0].PathPrefix = "/x" },
		"service twice":      func(c *Content) { c.Services[1].Name = "s1" },
		"service not named":  func(c *Content) { c.Services[0].Name = "" },
		"group of none":      engines(enginemodel.Engine{Models: []enginemodel.Model{{Name: "m"}}}),
		"group below none":   engines(enginemodel.Engine{Models: []enginemodel.Model{{Name: "m", GroupSize: -1}}}),
		"model not named":    engines(enginemodel.Engine{Models: []enginemodel.Model{{GroupSize: 1}}}),
		"model twice":        engines(enginemodel.Engine{Models: []enginemodel.Model{{Name: "m", GroupSize: 1}, {Name: "m", GroupSize: 2}}}),
		"negative load time": engines(enginemodel.Engine{Models: []enginemodel.Model{{Name: "m", GroupSize: 1, LoadTime: -1}}}),
		"infinite factor":    engines(enginemodel.Engine{Models: []enginemodel.Model{{Name: "m", GroupSize: 1, TimeFactor: math.Inf(1)}}}),
		"negative slots":     engines(enginemodel.Engine{Slots: -1}),
		"negative step":      engines(enginemodel.Engine{Step: -1}),
		"no rate":            engines(enginemodel.Engine{ReadRate: math.NaN()}),
		"route without host": func(c *Content) { c.Routes[0].Host = "" },
	} {
		content := valid()
		modify(&content)
		_, err := New(content)
		require.Error(t, err, name)
	}
	_, err := New(valid())
	require.NoError(t, err)
}

// Guards against a distribution of requests that does not match the weights.
func TestTargetFollowsWeights(t *testing.T) {
	c, err := New(valid())
	require.NoError(t, err)
	r := c.Route("a.example", "/x/y/")
	require.Equal(t, "s1", r.Target(0))
	require.Equal(t, "s1", r.Target(0.7499))
	require.Equal(t, "s2", r.Target(0.75))
	require.Equal(t, "s2", r.Target(0.9999))
}

// Guards against mapping a key to the wrong account and against requiring a key
// for public routes.
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

// Guards against running a non-resumable stream twice.
func TestRetryable(t *testing.T) {
	require.True(t, (&Route{Kind: Idempotent}).Retryable())
	require.False(t, (&Route{Kind: NonIdempotent}).Retryable())
	require.False(t, (&Route{Kind: Stream}).Retryable())
	require.True(t, (&Route{Kind: Stream, Resumable: true}).Retryable())
}
