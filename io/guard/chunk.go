package guard

// chunkScanner finds the end of a body in chunks, so that the next head on the connection
// is checked as well. It accepts the plain form only: any other is left to the server, on
// whose reading of it a head must not depend. The zero value is at the start of a body.
type chunkScanner struct {
	part   chunkPart // nil: sizeLine
	size   int64     // of the chunk
	digits int       // of the size
	ext    bool      // the size is over, an extension follows
	cr     bool      // the last byte was CR
	line   int       // bytes of a line of the trailer
}

// chunkPart is the part of a body to which the next byte belongs.
type chunkPart interface{ isChunkPart() }

type (
	// sizeLine is the line with the size of a chunk.
	sizeLine struct{}
	// chunkData is the data of a chunk.
	chunkData struct{ left int64 }
	// dataEnd is the line break after the data.
	dataEnd struct{}
	// trailer is what follows the last chunk.
	trailer struct{}
	// bodyEnd is after the body.
	bodyEnd struct{}
	// unusualBody is after a byte that the plain form does not have there.
	unusualBody struct{}
)

func (sizeLine) isChunkPart()    {}
func (chunkData) isChunkPart()   {}
func (dataEnd) isChunkPart()     {}
func (trailer) isChunkPart()     {}
func (bodyEnd) isChunkPart()     {}
func (unusualBody) isChunkPart() {}

// maxSizeDigits bounds the digits of a chunk's size, so that it fits into 63 bits.
const maxSizeDigits = 15

// scan takes the bytes that follow and returns how many of them belong to the body.
func (s *chunkScanner) scan(p []byte) int {
	n := 0
	for n < len(p) {
		switch part := s.part.(type) {
		case chunkData:
			k := min(part.left, int64(len(p)-n))
			n += int(k)
			s.part = chunkData{left: part.left - k}
			if part.left == k {
				s.part = dataEnd{}
			}
		case bodyEnd:
			return n
		case unusualBody:
			return len(p)
		case nil, sizeLine, dataEnd, trailer:
			s.take(p[n])
			n++
		}
	}
	return n
}

// take takes one byte outside the data of a chunk.
func (s *chunkScanner) take(b byte) {
	if s.cr != (b == '\n') {
		s.part = unusualBody{}
		return
	}
	if s.cr = b == '\r'; s.cr {
		return
	}
	if b == '\n' {
		s.endLine()
		return
	}
	switch s.part.(type) {
	case nil, sizeLine:
		s.takeSize(b)
	case trailer:
		s.line++
	case chunkData, dataEnd, bodyEnd, unusualBody:
		s.part = unusualBody{}
	}
}

// takeSize takes a byte of the line with the size of a chunk.
func (s *chunkScanner) takeSize(b byte) {
	if s.ext {
		return
	}
	digit, ok := hexDigit(b)
	switch {
	case ok && s.digits < maxSizeDigits:
		s.size = s.size<<4 | digit
		s.digits++
	case b == ';' && s.digits > 0:
		s.ext = true
	default:
		s.part = unusualBody{}
	}
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int64(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}

// endLine ends a line.
func (s *chunkScanner) endLine() {
	switch s.part.(type) {
	case nil, sizeLine:
		switch {
		case s.digits == 0:
			s.part = unusualBody{}
		case s.size == 0:
			s.part = trailer{}
		default:
			s.part = chunkData{left: s.size}
		}
		s.size, s.digits, s.ext = 0, 0, false
	case dataEnd:
		s.part = sizeLine{}
	case trailer:
		if s.line == 0 {
			s.part = bodyEnd{}
		}
		s.line = 0
	case chunkData, bodyEnd, unusualBody:
	}
}
