package front

import (
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"anvilstand/core/model"
	"anvilstand/core/shed"
	"anvilstand/io/clock"
)

// entryShedder lets concurrent requests that enter here share a shed.Controller.
type entryShedder struct {
	clock clock.Clock
	log   hclog.Logger
	mu    sync.Mutex
	core  shed.Controller
	// logged are the classes whose last line in the log had a fraction below 1.
	logged map[shed.Class]loggedFraction
}

// loggedFraction is what the last line in the log said about a class.
type loggedFraction struct {
	quarters int
	at       model.Instant
}

// fractionLogInterval is the shortest time between two lines for a class while its
// fraction stays below 1.
const fractionLogInterval = time.Second

// offer admits a request, or refuses it because calls of its chain would be refused.
func (s *entryShedder) offer(j *job) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.enteredAt = s.clock.Now()
	return s.core.Offer(j.enteredAt, j.chainClass(), j.call.Position())
}

// finish records how the chain of a request ended. It logs when the fraction of a class
// that is admitted has crossed a quarter since the last line.
func (s *entryShedder) finish(j *job, o shed.Outcome) {
	s.mu.Lock()
	now, class := s.clock.Now(), j.chainClass()
	s.core.Finish(now, class, j.enteredAt, o)
	fraction, change := s.core.Fraction(class), s.core.LastChange(class)
	due := s.noteLogged(now, class, shed.Quarters(fraction))
	s.mu.Unlock()
	if due {
		s.log.Info("entry", "service", j.service, "route", j.pattern, "fraction", fraction, "before", change.Before(),
			"passed", change.Passed(), "starved", change.Starved(), "id", j.call.ID())
	}
}

// noteLogged reports whether a line is due for a class whose fraction reaches a number
// of quarters, and records the line. The lock is held.
func (s *entryShedder) noteLogged(now model.Instant, class shed.Class, quarters int) bool {
	const all = 4
	last, below := s.logged[class]
	if !below {
		last.quarters = all
	}
	if quarters == last.quarters || (below && quarters != all && now.Sub(last.at) < fractionLogInterval) {
		return false
	}
	if quarters == all {
		delete(s.logged, class)
		return true
	}
	if !below {
		s.pruneLogged(now)
	}
	s.logged[class] = loggedFraction{quarters: quarters, at: now}
	return true
}

// pruneLogged deletes classes that get no offers any more. The lock is held.
func (s *entryShedder) pruneLogged(now model.Instant) {
	kept := map[shed.Class]loggedFraction{}
	for class := range s.core.Fractions(now) {
		if last, below := s.logged[class]; below {
			kept[class] = last
		}
	}
	s.logged = kept
}

// emitFractions passes the fractions of the classes to emit, for the metrics. Hosts of
// one route and service are told by the lowest of their fractions.
func (s *entryShedder) emitFractions(emit func(value float64, labels ...string)) {
	s.mu.Lock()
	lowest := map[[2]string]float64{}
	for k, fraction := range s.core.Fractions(s.clock.Now()) {
		labels := [2]string{string(k.Service()), k.Route()}
		if other, ok := lowest[labels]; !ok || fraction < other {
			lowest[labels] = fraction
		}
	}
	s.mu.Unlock()
	for labels, fraction := range lowest {
		emit(fraction, labels[0], labels[1])
	}
}

// fraction returns the fraction of a class's offers that is admitted.
func (s *entryShedder) fraction(k shed.Class) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Fraction(k)
}

// chainClass returns the class of a request whose chain begins here.
func (j *job) chainClass() shed.Class {
	return shed.NewClass(j.service, j.info.Host(), string(j.pattern))
}

// isRoot reports whether a request begins a chain: the target does not make it on
// behalf of another one.
func (j *job) isRoot() bool { return j.parentToken == "" && !j.maybeFromTarget }

// learnChain records whether calls of a response's chain were refused under overload:
// for the running request that the target makes this one for, or else for the requests
// that enter here like this one.
func (f *Front) learnChain(j *job, resp *http.Response) {
	starved := len(resp.Header[headerStarved]) > 0
	delete(resp.Header, headerStarved)
	switch {
	case !j.isRoot():
		if starved {
			f.running.noteStarved(j.parentToken)
		}
	case starved:
		f.meter.CountStarved(j.service)
		f.entryShedder.finish(j, shed.Starved{})
	case resp.StatusCode < http.StatusInternalServerError:
		f.entryShedder.finish(j, shed.Passed{})
	}
}

// markStarved sets the header that tells the entry daemon that a response is a failure
// after a call of the request was refused under overload.
func (f *Front) markStarved(resp *http.Response, token string) {
	if resp.StatusCode >= http.StatusInternalServerError && f.running.isStarved(token) {
		resp.Header.Set(headerStarved, "true")
	}
}

// noteFailedCall records a refused or failed call of a running request.
func (r *runningRequests) noteFailedCall(token string, refusal *model.Refusal) {
	r.noteRefusal(token)
	if shed.IsOverload(refusal) {
		r.noteStarved(token)
	}
}

// noteStarved records that a call of a running request was refused under overload, or
// that it failed because one of its own was.
func (r *runningRequests) noteStarved(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req, ok := r.byToken[token]; ok {
		req.starved = true
	}
}

// isStarved reports what noteStarved recorded.
func (r *runningRequests) isStarved(token string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	req, ok := r.byToken[token]
	return ok && req.starved
}
