package settingsfile

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/settings"
)

const sample = `{
  // The pool of the cooperative.
  "maxConcurrent": 100,
  "accounts": {"rug": {"class": "paying", "weight": 2.5}},
  "services": {
    "wash": {
      "routes": ["/wash/", "POST /orders"],
      "accounts": {"rug": {"maxConcurrent": 10}},
    },
  },
  "failureDomains": {"a": {"services": {"wash": {"downtimeWeight": 3}}}},
  "groups": {"weightStoreBytesPerSecond": 5000000000},
}`

// Guards against settings being lost when a file is read or written.
func TestRoundTrip(t *testing.T) {
	tree, err := ParseTree("f", []byte(sample))
	require.NoError(t, err)
	require.Equal(t, []string{"/", "/accounts/rug", "/failureDomains/a", "/failureDomains/a/services/wash", "/groups", "/services/wash", "/services/wash/accounts/rug"}, tree.Paths())
	v, origin, err := tree.Effective("/services/wash/accounts/rug", settings.KeyMaxConcurrent)
	require.NoError(t, err)
	require.Equal(t, "10", v.String())
	require.Equal(t, "/services/wash/accounts/rug", origin.Path)
	data, err := FormatTree(tree)
	require.NoError(t, err)
	again, err := ParseTree("g", data)
	require.NoError(t, err)
	require.Empty(t, settings.Diff(tree, again))
}

// Guards against an error without the file, line, key or accepted values.
func TestFaults(t *testing.T) {
	cases := []struct{ name, in, want string }{
		{"syntax", "{\n\"weight\": }", "f: hujson: line 2"},
		{"not an object", "[]", "f:1: /: found [], accepted: an object"},
		{"unknown key", "{\n\"wait\": 1}", "f:2: / wait: unknown key, accepted: class, weight"},
		{"unknown container", "{\n\"account\": {}}", "f:2: / account: found {}, accepted: a key of the settings reference"},
		{"container in a leaf", "{\"accounts\": {\"a\": {\n\"services\": {}}}}", "f:2: /accounts/a services: found {}, accepted: a key of"},
		{"type", "{\n\n\"weight\": \"2\"}", `f:3: / weight: found string "2", accepted: number from 0.001 to 1000`},
		{"object for a value", "{\n\"weight\": {}}", "f:2: / weight: found {}, accepted: number from 0.001 to 1000"},
		{"null", "{\n\"weight\": null}", "f:2: / weight: found null, accepted: number"},
		{"node is a number", "{\"accounts\": {\n\"a\": 7}}", "f:2: /accounts/a: found 7, accepted: an object"},
		{"bad id", "{\"accounts\": {\n\"a b\": {}}}", "f:2: /accounts/a b: not the path of a node"},
		{"twice", "{\"weight\": 1,\n\"weight\": 2}", "f:2: / weight: duplicate name, accepted: each name once"},
		{"contradiction", "{\"maxConcurrent\": 5, \"accounts\": {\"a\": {\n\"maxConcurrent\": 6}}}", "f:2: /accounts/a maxConcurrent: 6 exceeds 5 of /, accepted: above 0 and at most 5"},
		{"reference", "{\"services\": {\"s\": {\"accounts\": {\n\"none\": {}}}}}", "f:2: /services/s/accounts/none: /accounts/none does not exist"},
		{"inherited", "{\"timeoutMs\": 5,\n\"services\": {\"s\": {}}}", "f:1: / maxQueueMs: 10000 ms exceeds timeoutMs of 5 ms"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseTree("f", []byte(c.in))
			require.ErrorContains(t, err, c.want)
		})
	}
}
