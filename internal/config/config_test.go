package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const valid = `{
  // One daemon with both roles.
  "id": "a1",
  "failureDomain": "a",
  "roles": ["entry", "control"],
  "dataFolder": "data",
  "listen": {
    "caller": "127.0.0.1:8080", "upstream": "127.0.0.1:8081",
    "operator": "127.0.0.1:8082", "platform": "127.0.0.1:8083",
  },
  "logs": {"global": ["a1"], "domains": {"a": ["a1"]}},
}`

func TestParse(t *testing.T) {
	d, err := Parse("a1.jsonc", []byte(valid))
	require.NoError(t, err)
	require.Equal(t, "a1", d.ID)
	require.Equal(t, DefaultBalancerWait, d.BalancerWait())
}

// Guards against a misspelled key or an invalid value being ignored, and against
// an error without the line and path of the field.
func TestParseFaults(t *testing.T) {
	cases := []struct{ name, in, want string }{
		{"unknown key", "{\n\"id\": \"a\",\n\"idd\": 1}", "f:3: /idd: unknown key"},
		{"unknown nested key", "{\n\"listen\": {\n\"http\": 1}}", "f:3: /listen/http: unknown key"},
		{"wrong type", "{\n\"id\": 7}", "f:2: /id: found number, accepted: string"},
		{"bad role", "{\"id\":\"a\",\"failureDomain\":\"d\",\n\"roles\":[\"lead\"]}", `f:2: /roles/0: accepted: "entry" or "control"`},
		{"control without a disk", "{\"id\":\"a\",\"failureDomain\":\"d\",\n\"roles\":[\"control\"]}", `f:1: /dataFolder: accepted: a folder, since the role "control" needs a disk`},
		{"host name", "{\"id\":\"a\",\"failureDomain\":\"d\",\"roles\":[\"entry\"],\n\"listen\":{\n\"platform\":\"localhost:1\"}}", "f:3: /listen/platform: accepted: IP:port"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f", []byte(c.in))
			require.EqualError(t, err, c.want)
		})
	}
}
