package watch

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"anvilstand/core/model"
)

// Prefixes of the keys that have a name in them.
const (
	entryPrefix       = "conf."
	memberListPrefix  = "fleet."
	quotaRecordPrefix = "share."
	stopsPrefix       = "stops."
)

// maxNamedKeyBytes is the length of the longest key with a name as it is. The service's limit
// for keys is above it.
const maxNamedKeyBytes = 128

// digestPrefix marks a digest in place of a name in a key.
const digestPrefix = "#"

// EntryKey returns the key of the configuration entry that makes a revision.
func EntryKey(rev model.Revision) string { return entryPrefix + strconv.FormatUint(uint64(rev), 10) }

// MemberListKey returns the key of a failure domain's member list.
func MemberListKey(d model.Domain) string { return namedKey(memberListPrefix, string(d)) }

// QuotaRecordKey returns the key of an organisation's quota record, which contains
// its leases.
func QuotaRecordKey(org model.Org) string { return namedKey(quotaRecordPrefix, string(org)) }

// StopsKey returns the key of the recorded stops of a failure domain's targets.
func StopsKey(d model.Domain) string { return namedKey(stopsPrefix, string(d)) }

// namedKey returns the key for a name. A name that is too long for a key stands as its digest
// there; the values name their subjects where that is needed.
func namedKey(prefix, name string) string {
	if len(prefix)+len(name) <= maxNamedKeyBytes {
		return prefix + name
	}
	digest := sha256.Sum256([]byte(name))
	return prefix + digestPrefix + hex.EncodeToString(digest[:])
}
