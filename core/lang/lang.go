// Package lang is the lexer of the operators' language: it splits a text into
// statements and reads their words, names and numbers. Packages change and query
// define the statements.
package lang

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxText is the length of the longest text that is accepted, in bytes. An error
// text of Split contains it, as 1 MiB.
const MaxText = 1 << 20

// SyntaxError is an error in a text, with its place and what was expected there.
type SyntaxError struct {
	line   int
	column int
	want   string
	got    string
}

// Line returns the line of the error, counted from 1, or zero for an error without
// a place.
func (e *SyntaxError) Line() int { return e.line }

// Column returns the column of the error in bytes, counted from 1, or zero for an
// error without a place.
func (e *SyntaxError) Column() int { return e.column }

// Want returns what was expected.
func (e *SyntaxError) Want() string { return e.want }

// Error returns the place, what was expected, and the length of the word found.
// The word itself is not shown, because it may be a key in the wrong place.
func (e *SyntaxError) Error() string {
	got := "the end"
	if e.got != "" {
		got = fmt.Sprintf("a word of %d bytes", len(e.got))
	}
	return fmt.Sprintf("line %d, column %d: expected %s, found %s", e.line, e.column, e.want, got)
}

// Word is a word of a statement and its place in the text.
type Word struct {
	text   string
	line   int
	column int
}

// Text returns the word itself, empty at the end of a statement.
func (w Word) Text() string { return w.text }

// Reader reads the words of one statement in order.
type Reader struct {
	words []Word
	pos   int
	end   Word
}

// Split splits a text into statements at newlines and semicolons. It leaves out
// statements without words. A word that begins with # starts a comment, which
// extends to the end of the line. A text longer than MaxText is a *SyntaxError.
func Split(text string) ([]*Reader, error) {
	if len(text) > MaxText {
		return nil, &SyntaxError{line: 1, column: MaxText, want: "a text of at most 1 MiB", got: "more"}
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

// Peek returns the next word without reading it. At the end of the statement it
// is the empty word at that place.
func (r *Reader) Peek() Word {
	if r.pos >= len(r.words) {
		return r.end
	}
	return r.words[r.pos]
}

// More reports whether a word has not been read yet.
func (r *Reader) More() bool { return r.pos < len(r.words) }

// Skip reads one word and drops it.
func (r *Reader) Skip() { r.pos++ }

// Expected returns a *SyntaxError: want was expected instead of the next word.
func (r *Reader) Expected(want string) error { return Expected(r.Peek(), want) }

// Expected returns a *SyntaxError: want was expected instead of w. The zero Word
// gives an error without a place.
func Expected(w Word, want string) error {
	return &SyntaxError{line: w.line, column: w.column, want: want, got: w.text}
}

// End returns an error unless all words have been read.
func (r *Reader) End() error {
	if r.More() {
		return r.Expected("the end of the statement")
	}
	return nil
}

// Name reads a name, as described at IsName. what describes it in an error.
func (r *Reader) Name(what string) (string, error) {
	w := r.Peek()
	if !IsName(w.text) {
		return "", r.Expected(what)
	}
	r.Skip()
	return w.text, nil
}

// MaxName is the length of the longest name, in bytes.
const MaxName = 64

// IsName reports whether s is a name: 1 to MaxName bytes of ASCII letters, digits
// and the characters - _ . :
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

// Text reads one word of any form. what describes it in an error.
func (r *Reader) Text(what string) (string, error) {
	if !r.More() {
		return "", r.Expected(what)
	}
	w := r.Peek()
	r.Skip()
	return w.text, nil
}

// Float reads a decimal number from low to high. what describes it in an error.
func (r *Reader) Float(what string, low, high float64) (float64, error) {
	n, err := strconv.ParseFloat(r.Peek().text, 64)
	if err != nil || !(n >= low && n <= high) {
		return 0, r.Expected(fmt.Sprintf("%s from %g to %g", what, low, high))
	}
	r.Skip()
	return n, nil
}

// Uint reads a whole number from low to high. what describes it in an error.
func (r *Reader) Uint(what string, low, high uint64) (uint64, error) {
	n, err := strconv.ParseUint(r.Peek().text, 10, 64)
	if err != nil || n < low || n > high {
		return 0, r.Expected(fmt.Sprintf("%s from %d to %d", what, low, high))
	}
	r.Skip()
	return n, nil
}

// Choice reads one of the given words and returns it.
func (r *Reader) Choice(words ...string) (string, error) {
	got := r.Peek().text
	for _, w := range words {
		if w == got {
			r.Skip()
			return w, nil
		}
	}
	return "", r.Expected(strings.Join(words, ", "))
}
