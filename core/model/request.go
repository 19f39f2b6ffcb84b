package model

import "strings"

// maxRequest is the longest id of a request, in bytes. Ids that callers make of
// those of a chain of requests have some twenty bytes a link.
const maxRequest = 256

// idMarks are the bytes beside letters and digits that an id may have. None has
// a meaning where daemons write ids.
const idMarks = "-_.:/~@"

// Valid reports whether the id may stand in a header between daemons.
func (r Request) Valid() bool {
	if r == "" || len(r) > maxRequest {
		return false
	}
	for i := range len(r) {
		if !isIDByte(r[i]) {
			return false
		}
	}
	return true
}

func isIDByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return strings.IndexByte(idMarks, b) >= 0
}
