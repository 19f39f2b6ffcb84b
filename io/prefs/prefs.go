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

// Settings are the settings of one daemon. Each field has the name of its key in the
// file, except maxBody (body) and certKey (key). Accessors with another name than
// their key say which it is.
type Settings struct {
	name      model.Instance
	domain    model.Domain
	service   model.Service
	front     string
	peer      string
	oper      string
	target    string
	store     string
	secret    string
	operators map[string]string
	deadline  time.Duration
	grace     time.Duration
	budget    int
	maxBody   int64
	stall     time.Duration
	window    time.Duration
	settle    time.Duration
	conns     int
	cert      string
	certKey   string
	authority string
	seeds     []string
	isolation time.Duration
	hold      time.Duration
	form      string
	ready     string
	beats     string
	announce  string
	excess    float64
	slack     float64
	span      time.Duration
}

// Values of the setting form: the headers of requests and the protocol of the store.
const (
	formPlain    = "plain"
	formPlatform = "platform"
)

// UsesPlatform reports whether the daemon runs on the users' platform, which keeps the
// configuration and reports the status of targets.
func (p *Settings) UsesPlatform() bool { return p.form == formPlatform }

// Ready returns the listen address for the platform's readiness check, as host:port.
// It may be empty unless UsesPlatform.
func (p *Settings) Ready() string { return p.ready }

// ExcessRatio returns how much an organisation may get beyond its rate and burst within
// ExcessSpan when the daemons that hold its quota leases are replaced, as a fraction
// of them from 0 to 1 (setting excess). ExcessTokens is allowed as well.
func (p *Settings) ExcessRatio() float64 { return p.excess }

// ExcessTokens returns how many tokens an organisation may get beyond its rate and burst
// within ExcessSpan, in addition to ExcessRatio (setting slack).
func (p *Settings) ExcessTokens() float64 { return p.slack }

// ExcessSpan returns the period that ExcessRatio and ExcessTokens refer to (setting
// span).
func (p *Settings) ExcessSpan() time.Duration { return p.span }

// StatusAddress returns the listen address for the status reports of the target, as
// host:port (setting beats). It may be empty unless UsesPlatform.
func (p *Settings) StatusAddress() string { return p.beats }

// Seeds returns addresses of other daemons, in the own and in other failure domains,
// that a starting daemon asks for members and configuration before it reads the
// store. It may be empty.
func (p *Settings) Seeds() []string { return p.seeds }

// IsolationLimit returns how long the failure domain may be without contact with the
// store and with other domains before it counts as isolated (setting isolation).
func (p *Settings) IsolationLimit() time.Duration { return p.isolation }

// Name returns the name of the instance.
func (p *Settings) Name() model.Instance { return p.name }

// Domain returns the failure domain the instance is in.
func (p *Settings) Domain() model.Domain { return p.domain }

// Service returns the service of the target.
func (p *Settings) Service() model.Service { return p.service }

// Front returns the listen address for callers, as host:port.
func (p *Settings) Front() string { return p.front }

// Peer returns the listen address for other daemons, as host:port.
func (p *Settings) Peer() string { return p.peer }

// Announce returns the address at which other daemons reach this one, as host:port.
// It is empty when that is the listen address Peer.
func (p *Settings) Announce() string { return p.announce }

// Oper returns the listen address for operators, as host:port.
func (p *Settings) Oper() string { return p.oper }

// Target returns the base URL of the target.
func (p *Settings) Target() string { return p.target }

// Store returns the base URL of the platform's key-value service.
func (p *Settings) Store() string { return p.store }

// Secret returns the shared secret by which daemons authenticate to each other.
func (p *Settings) Secret() string { return p.secret }

// Operators returns the keys of the operators by their names.
func (p *Settings) Operators() map[string]string { return p.operators }

// Deadline returns the deadline of a request whose caller sets none.
func (p *Settings) Deadline() time.Duration { return p.deadline }

// LeaseTTL returns how long quota leases last while their holder has no contact with the
// store (setting hold).
func (p *Settings) LeaseTTL() time.Duration { return p.hold }

// StopTimeout returns the time limit of a planned stop (setting grace).
func (p *Settings) StopTimeout() time.Duration { return p.grace }

// RetryBudget returns the retry budget of a request: how many retries it may cause along
// its whole chain of calls (setting budget).
func (p *Settings) RetryBudget() int { return p.budget }

// MaxBody returns the size of the largest request body, in bytes (setting body).
func (p *Settings) MaxBody() int64 { return p.maxBody }

// StallTimeout returns how long the transfer of a request or a response may make no
// progress (setting stall).
func (p *Settings) StallTimeout() time.Duration { return p.stall }

// IdempotencyWindow returns how long an idempotency key is remembered (setting window).
func (p *Settings) IdempotencyWindow() time.Duration { return p.window }

// DrainDelay returns how long a daemon still takes new requests after a planned stop has
// begun, until the other daemons know of it (setting settle).
func (p *Settings) DrainDelay() time.Duration { return p.settle }

// MaxConns returns how many connections each listener keeps open at most (setting conns).
func (p *Settings) MaxConns() int { return p.conns }

// Secured reports whether listeners and links between daemons use TLS.
func (p *Settings) Secured() bool { return p.cert != "" }

// Certificate returns the paths of PEM files: the certificate, its key, and the
// authority that signs the certificates of the whole fleet. They are empty unless
// Secured.
func (p *Settings) Certificate() (cert, key, authority string) { return p.cert, p.certKey, p.authority }

// Defaults of optional settings. defaultMaxBody is in bytes, defaultBudget in retries,
// defaultConns in connections per listener.
const (
	defaultStall     = 30 * time.Second
	defaultWindow    = time.Minute
	defaultSettle    = 3 * time.Second
	defaultDeadline  = 5 * time.Second
	defaultGrace     = 30 * time.Second
	defaultHold      = time.Hour
	defaultIsolation = 30 * time.Second
	defaultBudget    = 3
	defaultMaxBody   = 64 << 20
	defaultConns     = 4096
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
		deadline:  durationOr(raw.Deadline, defaultDeadline), grace: durationOr(raw.Grace, defaultGrace),
		budget: valueOr(raw.Budget, defaultBudget), maxBody: valueOr(raw.Body, defaultMaxBody),
		stall: durationOr(raw.Stall, defaultStall), window: durationOr(raw.Window, defaultWindow), settle: durationOr(raw.Settle, defaultSettle),
		seeds: raw.Seeds, isolation: durationOr(raw.Isolation, defaultIsolation),
		hold:   durationOr(raw.Hold, defaultHold),
		conns:  valueOr(raw.Conns, defaultConns),
		excess: raw.Excess, slack: raw.Slack, span: durationOr(raw.Span, 0),
		form: raw.Form, ready: raw.Ready, beats: raw.Beats, announce: raw.Announce,
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
