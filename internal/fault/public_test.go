package fault

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against addresses of upstreams in what callers see.
func TestPublic(t *testing.T) {
	for text, want := range map[string]string{
		"answer cut off: read tcp 127.0.0.1:4000->10.0.0.9:80: connection reset by peer": "answer cut off: read tcp: connection reset by peer",
		"unreachable: dial tcp 10.0.0.9:80: connect: connection refused":                 "unreachable: dial tcp: connect: connection refused",
		"read tcp [fe80::1%eth0]:4000->[::1]:80: i/o timeout":                            "read tcp: i/o timeout",
		"stream broke after event 12: unexpected EOF":                                    "stream broke after event 12: unexpected EOF",
		"the body exceeds 1048576 bytes":                                                 "the body exceeds 1048576 bytes",
	} {
		require.Equal(t, want, Public(text))
	}
}
