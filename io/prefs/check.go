package prefs

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"anvilstand/core/lang"
	"anvilstand/core/model"
)

// FieldError is one error in a settings file. Its text is the rule that the value
// breaks, mostly what is allowed.
type FieldError struct {
	line  int
	field string
	rule  string
}

// Error returns the line, the field and the rule that its value breaks.
func (e FieldError) Error() string { return fmt.Sprintf("line %d: %s: %s", e.line, e.field, e.rule) }

// FieldErrors are all errors in a settings file.
type FieldErrors []FieldError

// Error returns the errors, one per line.
func (all FieldErrors) Error() string {
	lines := make([]string, 0, len(all))
	for _, e := range all {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// addUnlessReported adds the errors of fields that have no error yet, so that a value of the
// wrong type is not also reported as missing.
func (all FieldErrors) addUnlessReported(others FieldErrors) FieldErrors {
	for _, e := range others {
		if !slices.ContainsFunc(all, func(have FieldError) bool { return have.field == e.field }) {
			all = append(all, e)
		}
	}
	return all
}

// fields are the names of all settings, in the order of the documentation.
var fields = []string{
	"name", "domain", "service", "front", "peer", "oper", "target", "store", "secret",
	"operators", "deadline", "grace", "budget", "body", "stall", "window", "settle", "conns", "memory", "cert", "key", "authority",
	"seeds", "isolation", "hold", "form", "ready", "beats", "announce", "excess", "slack", "span",
}

// unknownFields returns an error for each member of the settings object that is no
// known field, with the line where it stands.
func unknownFields(text []byte) FieldErrors {
	value, err := hujson.Parse(text)
	object, ok := value.Value.(*hujson.Object)
	if err != nil {
		ok = false
	}
	if !ok {
		return FieldErrors{{line: 1, field: "settings", rule: "an object in braces"}}
	}
	var errs FieldErrors
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if !slices.Contains(fields, name) {
			rule := "unknown, the fields are " + strings.Join(fields, ", ")
			errs = append(errs, FieldError{line: lineAt(text, m.Name.StartOffset), field: name, rule: rule})
		}
	}
	return errs
}

// lineAt returns the line, counted from 1, of a byte offset.
func lineAt(text []byte, offset int) int { return 1 + strings.Count(string(text[:offset]), "\n") }

// lineOfField returns the line of the first occurrence of a field's name in quotes, or
// 1 when the text lacks it.
func lineOfField(text []byte, field string) int {
	if i := strings.Index(string(text), `"`+field+`"`); i >= 0 {
		return lineAt(text, i)
	}
	return 1
}

// typeError converts an error of json.Unmarshal.
func typeError(text []byte, err error) FieldError {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		field := strings.ToLower(typeErr.Field)
		return FieldError{line: lineOfField(text, field), field: field, rule: "a " + typeErr.Type.String() + ", not a " + typeErr.Value}
	}
	return FieldError{line: 1, field: "settings", rule: err.Error()}
}

// Bounds of the settings, in bytes, retries and seconds. The texts of the errors
// repeat the numbers.
const (
	minSecretBytes = 8
	maxRetryBudget = 100
	maxSeconds     = 3600
	minMemory      = 16 << 20
	maxMemory      = 1 << 40
)

// check returns an error for each setting that is missing or has a value that is not
// allowed.
func (s *Settings) check(text []byte) FieldErrors {
	var errs FieldErrors
	require := func(ok bool, field, rule string) {
		if !ok {
			errs = append(errs, FieldError{line: lineOfField(text, field), field: field, rule: rule})
		}
	}
	const nameRule = "a name of up to 64 letters, digits and - _ . :"
	s.checkNames(require, nameRule)
	const addressRule = "an address as host:port with an IP number"
	require(isAddress(s.front), "front", addressRule)
	require(isAddress(s.peer), "peer", addressRule)
	require(isAddress(s.oper), "oper", addressRule)
	const baseURLRule = "a URL as http://host:port"
	require(isBaseURL(s.target), "target", baseURLRule)
	require(isBaseURL(s.store), "store", baseURLRule)
	require(len(s.secret) >= minSecretBytes, "secret", "at least 8 bytes")
	require(s.announce == "" || isAddress(s.announce), "announce", addressRule)
	s.checkForm(require, addressRule)
	for operator, key := range s.operators {
		require(lang.IsName(operator) && len(key) >= minSecretBytes, "operators", operator+": "+nameRule+" with a key of at least 8 bytes")
	}
	const secondsRule = "seconds, above 0 and up to 3600"
	require(s.deadline > 0 && s.deadline.Seconds() <= maxSeconds, "deadline", secondsRule)
	require(s.leaseTTL > 0 && s.leaseTTL.Seconds() <= maxSeconds, "hold", secondsRule)
	require(s.isolationLimit > 0 && s.isolationLimit.Seconds() <= maxSeconds, "isolation", secondsRule)
	require(!slices.ContainsFunc(s.seeds, isNotAddress), "seeds", "a list of addresses as host:port with an IP number")
	require(s.stopTimeout > 0 && s.stopTimeout.Seconds() <= maxSeconds, "grace", secondsRule)
	require(s.stallTimeout > 0 && s.stallTimeout.Seconds() <= maxSeconds, "stall", secondsRule)
	require(s.idempotencyWindow > 0 && s.idempotencyWindow.Seconds() <= maxSeconds, "window", secondsRule)
	require(s.drainDelay >= 0 && s.drainDelay < s.stopTimeout, "settle", "seconds, 0 or more and less than grace")
	require(s.retryBudget >= 0 && s.retryBudget <= maxRetryBudget, "budget", "a whole number from 0 to 100")
	require(s.excessRatio >= 0 && s.excessRatio <= 1, "excess", "a fraction from 0 to 1")
	require(s.excessTokens >= 0, "slack", "tokens, 0 or more")
	require(s.excessSpan >= 0 && s.excessSpan.Seconds() <= maxSeconds, "span", "seconds, 0 or more and up to 3600")
	require(s.maxBody > 0, "body", "bytes, above 0")
	require(s.maxConns > 0, "conns", "connections, above 0")
	require(s.isMemoryInRange(), "memory", memoryRange)
	allOrNone := (s.cert == "") == (s.certKey == "") && (s.cert == "") == (s.authority == "")
	require(allOrNone, "cert", "cert, key and authority are set together or not at all")
	return errs
}

// checkNames checks the names of the daemon. On a platform they come from outside and need
// not be names of the operators' language. nameRule is the text of the error.
func (s *Settings) checkNames(require func(ok bool, field, rule string), nameRule string) {
	isName := lang.IsName
	if s.UsesPlatform() {
		isName, nameRule = model.IsPortable, "a name without control characters, of up to 512 bytes"
	}
	require(isName(string(s.name)), "name", nameRule)
	require(isName(string(s.domain)), "domain", nameRule)
	require(isName(string(s.service)), "service", nameRule)
}

// checkForm checks the settings that only one form requires. addressRule is the
// text of the error for an address.
func (s *Settings) checkForm(require func(ok bool, field, rule string), addressRule string) {
	require(s.form == "" || s.form == formPlain || s.form == formPlatform, "form", "plain or platform")
	require(!s.UsesPlatform() || isAddress(s.ready), "ready", addressRule)
	require(!s.UsesPlatform() || isAddress(s.statusAddress), "beats", addressRule)
	require(len(s.operators) > 0 || s.UsesPlatform(), "operators", "at least one operator with a key")
}

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func isNotAddress(s string) bool { return !isAddress(s) }

func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// memoryRange describes what isMemoryInRange accepts.
const memoryRange = "megabytes, from 16 to 1048576"

func (s *Settings) isMemoryInRange() bool { return s.Memory() >= minMemory && s.Memory() <= maxMemory }
