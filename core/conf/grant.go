package conf

import (
	"encoding/hex"

	"anvilstand/core/model"
)

// tagBytes is the length of a tag before it is written in hexadecimal.
const tagBytes = 8

// Tag returns the beginning of a digest in hexadecimal. Daemons name a key by
// it between themselves; the key does not follow from it.
func (d Digest) Tag() string { return hex.EncodeToString(d[:tagBytes]) }

// Granted reports whether an organisation has a key with the given tag.
func (c *Config) Granted(org model.Org, tag string) bool {
	keys := c.orgs[org].keys
	for i := range keys {
		if keys[i].Tag() == tag {
			return true
		}
	}
	return false
}
