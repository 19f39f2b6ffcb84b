package conf

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Digest is the SHA-256 hash of a key. The key itself is kept nowhere.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key's bytes.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest reads a digest in hexadecimal.
func ParseDigest(s string) (Digest, bool) {
	var d Digest
	if len(s) != hex.EncodedLen(len(d)) {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(s))
	return d, err == nil
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Equal compares two digests in constant time.
func (d Digest) Equal(e Digest) bool { return subtle.ConstantTimeCompare(d[:], e[:]) == 1 }
