package dogwoodprefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of prompt text that one block covers: 256 tokens at the estimate
// of four bytes per token that is used for requests. Engines cache in units of 16 to 256
// tokens, so a block is never finer than an engine's cache unit.
const BlockBytes = 1024

// Blocks returns the chained hashes of the leading whole blocks of a prompt's text, at most
// limit of them. Equal hashes at an index mean equal text up to the end of that block.
func Blocks(text []byte, limit int) []uint64 {
	count := min(len(text)/BlockBytes, limit)
	if count <= 0 {
		return nil
	}
	blocks := make([]uint64, 0, count)
	var digest xxhash.Digest
	digest.Reset()
	var chain [8]byte
	for i := range count {
		_, _ = digest.Write(text[i*BlockBytes : (i+1)*BlockBytes])
		sum := digest.Sum64()
		blocks = append(blocks, sum)
		digest.Reset()
		binary.LittleEndian.PutUint64(chain[:], sum)
		_, _ = digest.Write(chain[:])
	}
	return blocks
}
