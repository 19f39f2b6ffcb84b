// Package prefs parses and checks the settings of a daemon, which are JSON with
// comments. It sets defaults, checks each value and which of them go together; it
// opens no file and no address.
package prefs

import (
	"bytes"
	"encoding/json"
	"reflect"
	"time"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"anvilstand/core/model"
)

// Settings are the settings of one daemon. Fields are named after their accessors; an
// accessor that has another name than its key in the file says which key it is.
type Settings struct {
	name              model.Instance
	domain            model.Domain
	service           model.Service
	front             string
	peer              string
	oper              string
	target            string
	store             string
	secret            string
	operators         map[string]string
	deadline          time.Duration
	stopTimeout       time.Duration
	retryBudget       int
	maxBody           int64
	stallTimeout      time.Duration
	idempotencyWindow time.Duration
	drainDelay        time.Duration
	maxConns          int
	memory            int64
	memorySet         bool
	cert              string
	certKey           string
	authority         string
	seeds             []string
	isolationLimit    time.Duration
	leaseTTL          time.Duration
	form              string
	ready             string
	statusAddress     string
	announce          string
	excessRatio       float64
	excessTokens      float64
	excessSpan        time.Duration
}

// Values of the setting form: the headers of requests and the protocol of the store.
const (
	formPlain    = "plain"
	formPlatform = "platform"
)

// UsesPlatform reports whether the daemon runs on the users' platform, which keeps the
// configuration and reports the status of targets.
func (s *Settings) UsesPlatform() bool { return s.form == formPlatform }

// Ready returns the listen address for the platform's readiness check, as host:port.
// It may be empty unless UsesPlatform.
func (s *Settings) Ready() string { return s.ready }

// ExcessRatio returns how much an organisation may get beyond its rate and burst within
// ExcessSpan when the daemons that hold its quota leases are replaced, as a fraction
// of them from 0 to 1 (setting excess). ExcessTokens is allowed as well.
func (s *Settings) ExcessRatio() float64 { return s.excessRatio }

// ExcessTokens returns how many tokens an organisation may get beyond its rate and burst
// within ExcessSpan, in addition to ExcessRatio (setting slack).
func (s *Settings) ExcessTokens() float64 { return s.excessTokens }

// ExcessSpan returns the period that ExcessRatio and ExcessTokens refer to (setting
// span).
func (s *Settings) ExcessSpan() time.Duration { return s.excessSpan }

// StatusAddress returns the listen address for the status reports of the target, as
// host:port (setting beats). It may be empty unless UsesPlatform.
func (s *Settings) StatusAddress() string { return s.statusAddress }

// Seeds returns addresses of other daemons, in the own and in other failure domains,
// that a starting daemon asks for members and configuration before it reads the
// store. It may be empty.
func (s *Settings) Seeds() []string { return s.seeds }

// IsolationLimit returns how long the failure domain may be without contact with the
// store and with other domains before it counts as isolated (setting isolation).
func (s *Settings) IsolationLimit() time.Duration { return s.isolationLimit }

// Name returns the name of the instance.
func (s *Settings) Name() model.Instance { return s.name }

// Domain returns the failure domain the instance is in.
func (s *Settings) Domain() model.Domain { return s.domain }

// Service returns the service of the target.
func (s *Settings) Service() model.Service { return s.service }

// Front returns the listen address for callers, as host:port.
func (s *Settings) Front() string { return s.front }

// Peer returns the listen address for other daemons, as host:port.
func (s *Settings) Peer() string { return s.peer }

// Announce returns the address at which other daemons reach this one, as host:port.
// It is empty when that is the listen address Peer.
func (s *Settings) Announce() string { return s.announce }

// Oper returns the listen address for operators, as host:port.
func (s *Settings) Oper() string { return s.oper }

// Target returns the base URL of the target.
func (s *Settings) Target() string { return s.target }

// Store returns the base URL of the key-value service.
func (s *Settings) Store() string { return s.store }

// Secret returns the shared secret by which daemons authenticate to each other.
func (s *Settings) Secret() string { return s.secret }

// Operators returns the keys of the operators by their names.
func (s *Settings) Operators() map[string]string { return s.operators }

// Deadline returns the deadline of a request whose caller sets none.
func (s *Settings) Deadline() time.Duration { return s.deadline }

// LeaseTTL returns how long quota leases last while their holder has no contact with the
// store (setting hold).
func (s *Settings) LeaseTTL() time.Duration { return s.leaseTTL }

// StopTimeout returns the time limit of a planned stop (setting grace).
func (s *Settings) StopTimeout() time.Duration { return s.stopTimeout }

// RetryBudget returns the retry budget of a request: how many retries it may cause along
// its whole chain of calls (setting budget).
func (s *Settings) RetryBudget() int { return s.retryBudget }

// MaxBody returns the size of the largest request body, in bytes (setting body).
func (s *Settings) MaxBody() int64 { return s.maxBody }

// StallTimeout returns how long the transfer of a request or a response may make no
// progress (setting stall).
func (s *Settings) StallTimeout() time.Duration { return s.stallTimeout }

// IdempotencyWindow returns how long an idempotency key is remembered (setting window).
func (s *Settings) IdempotencyWindow() time.Duration { return s.idempotencyWindow }

// DrainDelay returns how long a daemon still takes new requests after a planned stop has
// begun, until the other daemons know of it (setting settle).
func (s *Settings) DrainDelay() time.Duration { return s.drainDelay }

// MaxConns returns how many connections each listener keeps open at most (setting conns).
func (s *Settings) MaxConns() int { return s.maxConns }

// Memory returns the memory that the process may take, in bytes (setting memory, in MB).
// Heads of requests, buffered bodies and paused answers get a share of it each.
func (s *Settings) Memory() int64 {
	if !s.memorySet {
		return defaultMemory
	}
	return s.memory
}

// WithMemory returns the settings with another memory, in MB. It returns an error if that
// is out of range.
func (s *Settings) WithMemory(mb float64) (*Settings, error) {
	next := *s
	next.memory, next.memorySet = int64(mb*(1<<20)), true
	if !next.isMemoryInRange() {
		return nil, errors.Errorf("memory: %g MB, want %s", mb, memoryRange)
	}
	return &next, nil
}

// HasMemoryLimit reports whether the memory is set.
func (s *Settings) HasMemoryLimit() bool { return s.memorySet }

// Secured reports whether listeners and links between daemons use TLS.
func (s *Settings) Secured() bool { return s.cert != "" }

// Certificate returns the paths of PEM files: the certificate (setting cert), its key,
// and the authority that signs the certificates of the whole fleet. They are empty
// unless Secured.
func (s *Settings) Certificate() (cert, key, authority string) { return s.cert, s.certKey, s.authority }

// Defaults of optional settings. defaultMaxBody is in bytes, defaultRetryBudget in
// retries, defaultMaxConns in connections per listener, defaultMemory in bytes.
const (
	defaultStallTimeout      = 30 * time.Second
	defaultIdempotencyWindow = time.Minute
	defaultDrainDelay        = 3 * time.Second
	defaultDeadline          = 5 * time.Second
	defaultStopTimeout       = 30 * time.Second
	defaultLeaseTTL          = time.Hour
	defaultIsolationLimit    = 30 * time.Second
	defaultRetryBudget       = 3
	defaultMaxBody           = 64 << 20
	defaultMaxConns          = 4096
	defaultMemory            = 128 << 20
)

// Parse parses and checks settings. The error is FieldErrors, which has all errors of
// the text, unless the text is not valid JSON with comments.
func Parse(text []byte) (*Settings, error) {
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	errs := unknownFields(text)
	// The field names are the keys of the settings; case does not matter.
	var raw struct {
		Name, Domain, Service     string
		Front, Peer, Oper, Target string
		Store, Secret             string
		Operators                 map[string]string
		Form, Ready, Beats        string
		Announce                  string
		Excess, Slack             float64
		Span                      *duration
		Stall, Window, Settle     *duration
		Deadline, Grace, Hold     *duration
		Budget, Conns             *int
		Memory                    *float64
		Body                      *int64
		Cert, Key, Authority      string
		Seeds                     []string
		Isolation                 *duration
	}
	if err := json.Unmarshal(standard, &raw); err != nil {
		errs = append(errs, typeError(text, err))
	}
	p := &Settings{
		name: model.Instance(raw.Name), domain: model.Domain(raw.Domain), service: model.Service(raw.Service),
		front: raw.Front, peer: raw.Peer, oper: raw.Oper, target: raw.Target, store: raw.Store, secret: raw.Secret,
		operators: raw.Operators,
		deadline:  durationOr(raw.Deadline, defaultDeadline), stopTimeout: durationOr(raw.Grace, defaultStopTimeout),
		retryBudget: valueOr(raw.Budget, defaultRetryBudget), maxBody: valueOr(raw.Body, defaultMaxBody),
		stallTimeout: durationOr(raw.Stall, defaultStallTimeout), idempotencyWindow: durationOr(raw.Window, defaultIdempotencyWindow), drainDelay: durationOr(raw.Settle, defaultDrainDelay),
		seeds: raw.Seeds, isolationLimit: durationOr(raw.Isolation, defaultIsolationLimit),
		leaseTTL:    durationOr(raw.Hold, defaultLeaseTTL),
		maxConns:    valueOr(raw.Conns, defaultMaxConns),
		memory:      int64(valueOr(raw.Memory, 0) * (1 << 20)),
		memorySet:   raw.Memory != nil,
		excessRatio: raw.Excess, excessTokens: raw.Slack, excessSpan: durationOr(raw.Span, 0),
		form: raw.Form, ready: raw.Ready, statusAddress: raw.Beats, announce: raw.Announce,
		cert: raw.Cert, certKey: raw.Key, authority: raw.Authority,
	}
	if errs = errs.addUnlessReported(p.check(text)); len(errs) > 0 {
		return nil, errs
	}
	return p, nil
}

// duration is a time.Duration that JSON spells as a number of seconds, or as a string
// with units.
type duration time.Duration

// UnmarshalJSON reads a number of seconds, or a string such as "1500ms".
func (d *duration) UnmarshalJSON(data []byte) error {
	var n float64
	if json.Unmarshal(data, &n) == nil {
		*d = duration(n * float64(time.Second))
		return nil
	}
	var text string
	err := json.Unmarshal(data, &text)
	if err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return &json.UnmarshalTypeError{Value: "string", Type: reflect.TypeFor[float64]()}
	}
	*d = duration(parsed)
	return nil
}

func durationOr(d *duration, fallback time.Duration) time.Duration {
	if d == nil {
		return fallback
	}
	return time.Duration(*d)
}

func valueOr[T any](p *T, fallback T) T {
	if p == nil {
		return fallback
	}
	return *p
}
