package mesh

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a large catalog that uses up the links between instances, and
// against documents that arrive changed.
func TestCompressedDocument(t *testing.T) {
	var document bytes.Buffer
	for n := range 2000 {
		fmt.Fprintf(&document, `{"name":"r-%d","host":"h%d.example","path_prefix":"/p%d/","kind":"idempotent","timeout_ms":2000},`, n*7919, n%17, n)
	}
	compressed, err := Compress(document.Bytes())
	require.NoError(t, err)
	require.Less(t, len(compressed)*5, document.Len())
	got, err := Decompress(compressed)
	require.NoError(t, err)
	require.Equal(t, document.Bytes(), got)
	_, err = Decompress(compressed[:len(compressed)/2])
	require.Error(t, err)
	_, err = Decompress([]byte("no document"))
	require.Error(t, err)
}

// Guards against loads that are lost or mixed up on their way.
func TestLoads(t *testing.T) {
	loads := map[string]int{"one": 3, "two": 48}
	require.Equal(t, loads, DecodeLoads(EncodeLoads(loads)))
}
