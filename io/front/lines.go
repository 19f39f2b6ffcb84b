package front

import (
	"bytes"

	"github.com/go-faster/errors"
)

// Bounds on the header lines of a response, also of an interim one. A decoded line takes
// some 130 bytes, so that 64 KiB of short lines take 2 MB. Targets send some tens.
const (
	maxTargetLines = 1000
	// maxPeerLines leaves room for what a daemon adds to a response that it relays.
	maxPeerLines = maxTargetLines + 64
)

// errTooManyLines is the error of reading a head with more lines. Its connection is not
// used again.
var errTooManyLines = errors.New("too many header lines in a response")

// headLines counts the lines of a response's head as they arrive, before they are decoded.
// The zero value is at the start of a head.
type headLines struct {
	part  headPart // nil: protocol
	lines int      // with the status line
	size  int      // bytes of the current line besides a CR at its end
	cr    bool     // the last byte was a CR
}

// headPart is what the next byte of a response belongs to.
type headPart interface{ isHeadPart() }

type (
	// protocol is the part of the status line before the status.
	protocol struct{}
	// status is where the status is about to begin.
	status struct{}
	// fields is the rest of the head.
	fields struct{ interim bool }
	// content is what follows the head.
	content struct{}
)

func (protocol) isHeadPart() {}
func (status) isHeadPart()   {}
func (fields) isHeadPart()   {}
func (content) isHeadPart()  {}

// add takes the bytes that follow. It returns false if the head has more than maxLines
// header lines.
func (h *headLines) add(p []byte, maxLines int) bool {
	for len(p) > 0 {
		if _, ended := h.part.(content); ended {
			return true
		}
		line, rest, whole := bytes.Cut(p, []byte("\n"))
		h.addToLine(line)
		if p = rest; !whole {
			return true
		}
		if h.endLine(); h.lines > maxLines+1 {
			return false
		}
	}
	return true
}

// addToLine takes bytes of the current line.
func (h *headLines) addToLine(p []byte) {
	if len(p) == 0 {
		return
	}
	h.size += len(p)
	if h.cr {
		h.size++ // the CR before was not the end of the line
	}
	if h.cr = p[len(p)-1] == '\r'; h.cr {
		h.size--
	}
	for _, b := range p {
		switch h.part.(type) {
		case nil, protocol:
			if b == ' ' {
				h.part = status{}
			}
		case status:
			if b != ' ' {
				h.part = fields{interim: b == '1'}
			}
		case fields, content:
			return
		}
	}
}

// endLine ends a line. An empty one ends the head; after that of an interim response
// another head follows.
func (h *headLines) endLine() {
	if h.size == 0 {
		part := headPart(content{})
		if f, ok := h.part.(fields); ok && f.interim {
			part = protocol{}
		}
		*h = headLines{part: part}
		return
	}
	if _, ok := h.part.(fields); !ok {
		h.part = fields{} // a status line that is malformed
	}
	h.lines++
	h.size, h.cr = 0, false
}
