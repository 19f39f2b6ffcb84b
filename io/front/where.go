package front

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/query"
	"anvilstand/core/route"
	"anvilstand/io/form"
)

// Decide returns the decisions that a request would meet here now. It sends nothing,
// takes no token and changes no state.
func (f *Front) Decide(q query.Where) []query.Decision {
	j := &job{view: f.loop.View(), info: form.NewRequestInfo("").WithHost(q.Host())}
	if decision, ok := f.decideRoute(j, q); !ok {
		return []query.Decision{decision}
	}
	return f.decideAdmission(j, q)
}

// decideRoute finds the route of a request. It returns true if there is one, else the
// decision that refuses the request.
func (f *Front) decideRoute(j *job, q query.Where) (query.Decision, bool) {
	u, err := url.ParseRequestURI(q.Path())
	if err != nil {
		return query.NewDecision("route", "refused: badrequest", "the path is not valid"), false
	}
	r := &http.Request{Method: q.Method(), URL: u, Host: q.Host()}
	if j.view.Config().Revision() == 0 {
		return query.NewDecision("route", "refused: notarget", "this daemon has no configuration yet"), false
	}
	if q.Host() != "" {
		var ok bool
		j.path = u.EscapedPath()
		if j.route, ok = j.view.Config().MatchHost(q.Host(), j.path); ok {
			return query.Decision{}, true
		}
		err = model.Refuse(model.NoRoute{}, 0)
	} else if err = j.matchService(r); err == nil {
		return query.Decision{}, true
	}
	return query.NewDecision("route", refusalText(err), fmt.Sprintf("no route has this host and path at revision %d", j.view.Config().Revision())), false
}

// decideAdmission returns the decisions after the route is known.
func (f *Front) decideAdmission(j *job, q query.Where) []query.Decision {
	services := j.route.Split()
	if len(services) == 0 {
		services = []conf.WeightedService{conf.NewWeightedService(j.service, 1)}
	}
	j.pattern = route.Pattern(j.route.Method() + " " + j.route.Prefix())
	j.call = model.NewCall("", q.Org(), j.rank(q.Org()))
	list := []query.Decision{
		query.NewDecision("route", string(j.pattern), fmt.Sprintf("revision %d, idempotent %t, timeout %s", j.view.Config().Revision(), j.route.Idempotent(), j.route.Timeout())),
		f.decideOrg(j, q.Org()),
	}
	for _, s := range services {
		j.service = s.Service()
		list = append(list, query.NewDecision("service", string(j.service), fmt.Sprintf("weight %g", s.Weight())), f.decideEntry(j))
		list = append(list, f.decideTargets(j)...)
	}
	return list
}

// decideOrg tells what the organisation of a request has to spend.
func (f *Front) decideOrg(j *job, org model.Org) query.Decision {
	o, known := j.view.Config().Org(org)
	switch {
	case j.route.Open():
		return query.NewDecision("org", "none", fmt.Sprintf("the route is open; rank %d", j.call.Rank()))
	case !known:
		return query.NewDecision("org", "refused: badkey", "the organisation is not in force here")
	case o.Unlimited():
		return query.NewDecision("org", string(org), fmt.Sprintf("rank %d, no rate", j.call.Rank()))
	}
	tokens, exhausted := f.tokens.core.Available(org)
	outcome := string(org)
	if tokens == 0 && exhausted {
		outcome = "refused: overrate"
	}
	return query.NewDecision("org", outcome, fmt.Sprintf("rank %d, rate %g, burst %g, tokens here %d, holders exhausted %t", j.call.Rank(), o.Rate(), o.Burst(), tokens, exhausted))
}

// decideEntry tells which part of the requests like this one is admitted.
func (f *Front) decideEntry(j *job) query.Decision {
	if fraction := f.entryShedder.fraction(j.chainClass()); fraction < 1 {
		return query.NewDecision("entry", fmt.Sprintf("admits %.2f", fraction), "calls of such requests are refused deeper in the chain")
	}
	return query.NewDecision("entry", "admits all", "")
}

// decideTargets returns one decision for each target of the service.
func (f *Front) decideTargets(j *job) []query.Decision {
	members := usualMembers(j.view, j.service)
	if len(members) == 0 {
		return []query.Decision{query.NewDecision("target", "refused: notarget", "no member of the service may take work")}
	}
	tried := map[model.Instance]bool{}
	f.avoided.markTried(f.clock.Now(), members, tried)
	var list []query.Decision
	for _, o := range f.picker.outlooks(j, members) {
		outcome := route.TargetStateName(o.State())
		if tried[o.Member().Name()] {
			outcome = "avoided"
		}
		list = append(list, query.NewDecision("target", fmt.Sprintf("%s: %s", o.Member().Name(), outcome), describeOutlook(o)))
	}
	return list
}

// describeOutlook returns the figures by which a target is compared with the others.
func describeOutlook(o route.Outlook) string {
	age, ok := o.Age()
	if !ok {
		return fmt.Sprintf("domain %s, load %.2f, no report", o.Member().Domain(), o.Load())
	}
	return fmt.Sprintf("domain %s, load %.2f of %d, expected %s, report %s old", o.Member().Domain(), o.Load(), o.Limit(), o.Expected(), age.Round(time.Millisecond))
}

// outlooks returns what decides which member would get a request.
func (p *picker) outlooks(j *job, members []fleet.Member) []route.Outlook {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Outlooks(p.clock.Now(), members, route.NewPickInfo(j.view.Self().Domain(), j.pattern, j.call.Position()))
}

func refusalText(err error) string {
	var r *model.Refusal
	if errors.As(err, &r) {
		return "refused: " + model.ReasonName(r.Reason())
	}
	return err.Error()
}
