package front

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"anvilstand/core/conf"
	"anvilstand/core/model"
	"anvilstand/io/form"
)

// noConfigRetryAfter is the wait before a retry that callers are told while the
// daemon has no configuration.
const noConfigRetryAfter = 200 * time.Millisecond

// id returns the caller's request id, or a new one.
func (j *job) id() model.Request {
	if id := j.info.ID(); id != "" {
		return id
	}
	return model.Request(randomID())
}

// match finds the request's route. Without a configuration the daemon cannot
// tell a wrong path from a right one, so the caller is asked to retry.
func (f *Front) match(j *job, r *http.Request) error {
	if j.view.Config().Revision() == 0 {
		return model.Refuse(model.NoTarget{}, noConfigRetryAfter)
	}
	if j.info.Host() != "" {
		return f.matchHost(j, r)
	}
	return j.matchService(r)
}

// matchService finds the route in the service named by the first path segment.
func (j *job) matchService(r *http.Request) error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(rawPath(r), "/"), "/")
	j.service, j.path = model.Service(name), "/"+rest
	service, ok := j.view.Config().Service(j.service)
	if !ok {
		return model.Refuse(model.NoRoute{}, 0)
	}
	if j.route, ok = service.Match(r.Method, j.path); !ok {
		return model.Refuse(model.NoRoute{}, 0)
	}
	if form.ContainsKey(j.path, j.info.Keys()) {
		return model.Refuse(model.BadRequest{}, 0)
	}
	return nil
}

// matchHost finds the route of a host. The path is forwarded unchanged.
func (f *Front) matchHost(j *job, r *http.Request) error {
	j.path = rawPath(r)
	var ok bool
	if j.route, ok = j.view.Config().MatchHost(j.info.Host(), j.path); !ok {
		return model.Refuse(model.NoRoute{}, 0)
	}
	j.service = f.splitter.pick(j.route)
	return nil
}

// splitter picks the service for routes that are split by weight, by smooth
// weighted round-robin: each pick takes the service with the most credit, so that
// even a few requests follow the weights. The zero value is ready for use.
type splitter struct {
	mu     sync.Mutex
	credit map[splitKey]float64
}

// splitKey identifies a service of a split route.
type splitKey struct {
	host, prefix string
	service      model.Service
}

// pick returns the service for one request on a route, or the empty name if the
// route names no service.
func (s *splitter) pick(r conf.Route) model.Service {
	split := r.Split()
	if len(split) == 0 {
		return ""
	}
	if len(split) == 1 {
		return split[0].Service()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit == nil {
		s.credit = map[splitKey]float64{}
	}
	return s.next(r, split)
}

// next credits each service with its weight of one request and charges the
// request to the service with the most credit. The first credit is random, so
// that daemons that start together do not all begin with the same service.
func (s *splitter) next(r conf.Route, split []conf.WeightedService) model.Service {
	total := 0.0
	for _, ws := range split {
		total += ws.Weight()
	}
	best, most := splitKey{}, 0.0
	for i, ws := range split {
		k := splitKey{host: r.Host(), prefix: r.Prefix(), service: ws.Service()}
		if _, known := s.credit[k]; !known {
			s.credit[k] = rand.Float64() - 0.5
		}
		s.credit[k] += ws.Weight() / total
		if i == 0 || s.credit[k] > most {
			best, most = k, s.credit[k]
		}
	}
	s.credit[best]--
	return best.service
}
