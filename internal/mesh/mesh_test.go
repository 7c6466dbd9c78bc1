package mesh

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against large catalogs that saturate the links between instances, and
// against documents that are altered by compression.
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

// Guards against loads that are lost or assigned to the wrong upstream when
// they are encoded.
func TestLoads(t *testing.T) {
	loads := map[string]int{"one": 3, "two": 48}
	require.Equal(t, loads, DecodeLoads(EncodeLoads(loads)))
}

// Guards against corrupt data from a peer that crashes an entry.
func FuzzDecompress(f *testing.F) {
	compressed, err := Compress([]byte(`{"version":1}`))
	require.NoError(f, err)
	f.Add(compressed)
	f.Add([]byte("no document"))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := Decompress(data)
		if err != nil {
			return
		}
		again, err := Compress(document)
		require.NoError(t, err)
		decompressed, err := Decompress(again)
		require.NoError(t, err)
		require.True(t, bytes.Equal(document, decompressed))
	})
}
