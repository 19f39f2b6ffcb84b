package guard

import (
	"bytes"
	"slices"
	"strconv"
)

// scanner finds the end of a head and what its lines say about the body. It sees each
// byte once.
type scanner struct {
	head      []byte // bytes of the head, and after its end of what follows
	seen      int    // bytes of head that were looked at
	lineStart int
	lines     int // header lines, without the request line
	empty     int // empty lines before the request line
	begun     bool
	framing   framing
}

// framing is how the bytes after a head are framed.
type framing struct {
	length    int64
	hasLength bool
	chunked   bool
	unframed  bool // the end is known to the server only, because of an odd header
}

// progress is how far a head is: partial, complete or excessive.
type progress interface{ isProgress() }

type (
	// partial is a head of which more must come.
	partial struct{}
	// complete is a head that has ended within the limits.
	complete struct{}
	// excessive is a head that breaks a limit.
	excessive struct{ reason Reason }
)

func (partial) isProgress()   {}
func (complete) isProgress()  {}
func (excessive) isProgress() {}

// add appends bytes and looks for the end of the head. When the head is
// whole, s.seen is its length.
func (s *scanner) add(p []byte, l Limits) progress {
	s.head = append(s.head, p...)
	return s.scan(l)
}

func (s *scanner) scan(l Limits) progress {
	for {
		i := bytes.IndexByte(s.head[s.seen:], '\n')
		if i < 0 {
			s.seen = len(s.head)
			if s.seen > l.headBytes {
				return excessive{reason: TooManyBytes{}}
			}
			return partial{}
		}
		s.seen += i + 1
		if s.seen > l.headBytes {
			return excessive{reason: TooManyBytes{}}
		}
		line := bytes.TrimSuffix(s.head[s.lineStart:s.seen-1], []byte("\r"))
		if len(line) == 0 && s.begun {
			return complete{}
		}
		s.lineStart = s.seen
		switch {
		case len(line) == 0:
			if s.empty++; s.empty > maxEmptyLines {
				return excessive{reason: TooManyEmptyLines{}}
			}
			s.dropSeen()
		case !s.begun:
			s.begun = true
		default:
			if s.lines++; s.lines > l.headLines {
				return excessive{reason: TooManyLines{}}
			}
			s.framing.note(line)
		}
	}
}

// dropSeen removes the bytes that were looked at.
func (s *scanner) dropSeen() {
	s.head = append(s.head[:0], s.head[s.seen:]...)
	s.seen, s.lineStart = 0, 0
}

// note records what a header line says about the framing. Whatever net/http might read
// in another way than this function makes the body unframed.
func (f *framing) note(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		f.unframed = true // continues the line before
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch name = bytes.TrimSpace(name); {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.unframed = f.unframed || f.chunked || f.hasLength || !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked"))
		f.chunked = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		if err != nil || f.hasLength || f.chunked {
			f.unframed = true
		}
		f.length, f.hasLength = int64(n), true
	}
}

// take returns the head that has ended and what to read after it, and starts anew. An
// unframed body is the last on its connection: the server is told so by a header.
func (s *scanner) take() ([]byte, framing) {
	head, rest, f := s.head[:s.seen], s.head[s.seen:], s.framing
	if f.unframed {
		head = slices.Concat(head[:s.lineStart], []byte("Connection: close\r\n"), head[s.lineStart:])
	}
	*s = scanner{head: bytes.Clone(rest)}
	return head, f
}

// cost returns what the head costs while it is read and served, in bytes.
func (s *scanner) cost() int { return byteCost*len(s.head) + lineCost*s.lines }
