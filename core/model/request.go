package model

import "strings"

// maxRequestBytes is the length of the longest request id. A caller that derives the
// id of each call of a chain from that of its parent adds some 20 bytes a call.
const maxRequestBytes = 512

// idPunctuation lists the bytes besides letters and digits that an id may contain.
// None of them needs to be escaped in the messages between daemons.
const idPunctuation = "-_.:/~@"

// Valid reports whether the id can be used in a header between daemons: it is
// not empty, at most 512 bytes long, and made of letters, digits and - _ . : / ~ @.
func (r Request) Valid() bool {
	if r == "" || len(r) > maxRequestBytes {
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
	return strings.IndexByte(idPunctuation, b) >= 0
}
