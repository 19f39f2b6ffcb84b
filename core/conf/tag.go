package conf

import (
	"encoding/hex"

	"anvilstand/core/model"
)

// tagBytes is the number of a digest's bytes in a tag. A tag has two hexadecimal
// digits for each.
const tagBytes = 8

// Tag returns the first bytes of the digest in hexadecimal. Daemons identify a key
// by its tag among themselves, because the key cannot be derived from it.
func (d Digest) Tag() string { return hex.EncodeToString(d[:tagBytes]) }

// HasKeyTag reports whether a key with the given tag is granted to an organisation.
func (c *Config) HasKeyTag(org model.Org, tag string) bool {
	keys := c.orgs[org].keys
	for i := range keys {
		if keys[i].Tag() == tag {
			return true
		}
	}
	return false
}
