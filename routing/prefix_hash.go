package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Defaults for hashing the blocks of a prompt.
const (
	// DefaultBlockBytes is the block length: about 64 tokens of English text at
	// 4 bytes per token.
	DefaultBlockBytes = 256
	// DefaultMaxBlocks limits the hashed prefix to 32 KiB at the default block
	// length.
	DefaultMaxBlocks = 128
)

// BlockHashes appends the chained hashes of the leading full blocks of prompt to
// dst. Each hash covers its block and all earlier ones; a partial last block is
// omitted. The chain starts from scope, which identifies the model, version and
// adapter of the cache. Engines publish the same hashes in their cache events.
func BlockHashes(dst []uint64, scope string, prompt []byte, blockBytes, maxBlocks int) []uint64 {
	previous := xxhash.Sum64String(scope)
	var d xxhash.Digest
	var link [8]byte
	for len(prompt) >= blockBytes && maxBlocks > 0 {
		binary.LittleEndian.PutUint64(link[:], previous)
		d.Reset()
		_, _ = d.Write(link[:])
		_, _ = d.Write(prompt[:blockBytes])
		previous = d.Sum64()
		dst = append(dst, previous)
		prompt = prompt[blockBytes:]
		maxBlocks--
	}
	return dst
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
