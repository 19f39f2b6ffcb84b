package conf

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 hash of a key. The key itself is not stored anywhere.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest parses a digest of 64 hexadecimal digits.
func ParseDigest(s string) (Digest, bool) {
	var d Digest
	if len(s) != hex.EncodedLen(len(d)) {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(s))
	return d, err == nil
}

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
