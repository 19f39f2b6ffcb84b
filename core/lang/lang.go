// Package lang reads the words of the operators' language. Packages change and
// query give the words their meaning.
package lang

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxText is the longest text that is read, in bytes.
const MaxText = 1 << 20

// Fault is a text that does not read. It names the place and what the language
// expects there.
type Fault struct {
	line   int
	column int
	want   string
	got    string
}

// Line returns the line of the fault, from 1.
func (f *Fault) Line() int { return f.line }

// Column returns the byte column of the fault, from 1.
func (f *Fault) Column() int { return f.column }

// Want returns what the language expects at that place.
func (f *Fault) Want() string { return f.want }

// Error returns the place, the expectation and the length of what stands there.
// The word itself is not shown: it may be a key in a wrong place.
func (f *Fault) Error() string {
	got := "the end"
	if f.got != "" {
		got = fmt.Sprintf("a word of %d bytes", len(f.got))
	}
	return fmt.Sprintf("line %d, column %d: expected %s, found %s", f.line, f.column, f.want, got)
}

// Word is a word and where it stands.
type Word struct {
	text   string
	line   int
	column int
}

// Text returns the word.
func (w Word) Text() string { return w.text }

// Reader walks over the words of one statement.
type Reader struct {
	words []Word
	next  int
	end   Word
}

// Split cuts a text into statements at newlines and semicolons. A statement
// without words is left out; a word that begins with # ends the line.
func Split(text string) ([]*Reader, error) {
	if len(text) > MaxText {
		return nil, &Fault{line: 1, column: MaxText, want: "a text of at most 1 MiB", got: "more"}
	}
	var all []*Reader
	for i, line := range strings.Split(text, "\n") {
		all = append(all, splitLine(line, i+1)...)
	}
	return all, nil
}

func splitLine(line string, n int) []*Reader {
	for i := range len(line) {
		if line[i] == '#' && (i == 0 || isSpace(line[i-1])) {
			line = line[:i]
			break
		}
	}
	var all []*Reader
	start := 0
	for part := range strings.SplitSeq(line, ";") {
		if r := splitStatement(part, n, start); len(r.words) > 0 {
			all = append(all, r)
		}
		start += len(part) + 1
	}
	return all
}

func splitStatement(part string, line, start int) *Reader {
	r := &Reader{end: Word{line: line, column: start + len(part) + 1}}
	for i := 0; i < len(part); {
		if isSpace(part[i]) {
			i++
			continue
		}
		j := i
		for j < len(part) && !isSpace(part[j]) {
			j++
		}
		r.words = append(r.words, Word{text: part[i:j], line: line, column: start + i + 1})
		i = j
	}
	return r
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\r' }

// Peek returns the next word without moving on. At the end its text is empty.
func (r *Reader) Peek() Word {
	if r.next >= len(r.words) {
		return r.end
	}
	return r.words[r.next]
}

// More reports whether a word is left.
func (r *Reader) More() bool { return r.next < len(r.words) }

// Skip moves on by one word.
func (r *Reader) Skip() { r.next++ }

// Fail returns the fault that want was expected at the next word.
func (r *Reader) Fail(want string) error { return Expected(r.Peek(), want) }

// Expected returns the fault that want was expected in place of w.
func Expected(w Word, want string) error {
	return &Fault{line: w.line, column: w.column, want: want, got: w.text}
}

// End fails unless all words are read.
func (r *Reader) End() error {
	if r.More() {
		return r.Fail("the end of the statement")
	}
	return nil
}

// Name reads a name: letters, digits and the marks - _ . : up to 64 bytes.
func (r *Reader) Name(what string) (string, error) {
	w := r.Peek()
	if !IsName(w.text) {
		return "", r.Fail(what)
	}
	r.Skip()
	return w.text, nil
}

// MaxName is the longest name, in bytes.
const MaxName = 64

// IsName reports whether s is a name of the language.
func IsName(s string) bool {
	if s == "" || len(s) > MaxName {
		return false
	}
	for i := range len(s) {
		if !isNameByte(s[i]) {
			return false
		}
	}
	return true
}

func isNameByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return strings.IndexByte("-_.:", b) >= 0
}

// Text reads one word of any form.
func (r *Reader) Text(what string) (string, error) {
	if !r.More() {
		return "", r.Fail(what)
	}
	w := r.Peek()
	r.Skip()
	return w.text, nil
}

// Number reads a decimal number from low to high.
func (r *Reader) Number(what string, low, high float64) (float64, error) {
	n, err := strconv.ParseFloat(r.Peek().text, 64)
	if err != nil || !(n >= low && n <= high) {
		return 0, r.Fail(fmt.Sprintf("%s from %g to %g", what, low, high))
	}
	r.Skip()
	return n, nil
}

// Whole reads a whole number from low to high.
func (r *Reader) Whole(what string, low, high uint64) (uint64, error) {
	n, err := strconv.ParseUint(r.Peek().text, 10, 64)
	if err != nil || n < low || n > high {
		return 0, r.Fail(fmt.Sprintf("%s from %d to %d", what, low, high))
	}
	r.Skip()
	return n, nil
}

// Choice reads one of the given words.
func (r *Reader) Choice(words ...string) (string, error) {
	got := r.Peek().text
	for _, w := range words {
		if w == got {
			r.Skip()
			return w, nil
		}
	}
	return "", r.Fail(strings.Join(words, ", "))
}
