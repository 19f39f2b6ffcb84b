package front

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"anvilstand/core/canary"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/io/ctrl"
)

// usualMembers returns the daemons of a service that take new requests. While the service
// has an order of a rollout, they are those of the version that gets all requests but a
// share.
func usualMembers(v *ctrl.View, s model.Service) []fleet.Member {
	members, plan := v.Serving(s), v.Plan(s)
	if !plan.HasOrder() {
		return members
	}
	return membersOf(members, plan.IsUsual)
}

// membersOf returns the members whose version is wanted.
func membersOf(members []fleet.Member, isWanted func(version string) bool) []fleet.Member {
	var chosen []fleet.Member
	for _, m := range members {
		if isWanted(m.Version()) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// pickTarget picks a target, of the new version if the rollout's share says so. A
// request goes to the new version at most once: its retries go to the usual one. The
// results are those of picker.pick.
func (f *Front) pickTarget(j *job, a *attempts) (fleet.Member, model.Position, error) {
	view := f.loop.View()
	plan := view.Plan(j.service)
	if plan.TakesShare() && !a.hadTarget {
		warm := f.loop.Exposure().WarmMembers(plan, view.Serving(j.service))
		if len(warm) > 0 && f.loop.Exposure().Choose(plan) {
			if m, level, err := f.picker.pick(*j, warm, a.tried); err == nil {
				return m, level, nil
			}
			f.loop.Exposure().Cancel(plan)
		}
	}
	return f.picker.pick(*j, usualMembers(view, j.service), a.tried)
}

// meantVersion returns the version of the target that a request is sent to, for the
// daemon beside it. It is empty if the service has no order of a rollout.
func (f *Front) meantVersion(j *job, m fleet.Member) string {
	if !f.loop.View().Plan(j.service).HasOrder() {
		return ""
	}
	return m.Version()
}

// unlistedVersion stands in metrics for the version of a target that is listed without
// one, which was never that of an order.
const unlistedVersion = "unlisted"

// noteAnswer counts how an attempt ended, for the rollout of its service. An attempt
// without an answer counts only if the target broke the connection, or took too long:
// other failures say nothing about its version.
func (f *Front) noteAnswer(j *job, m fleet.Member, resp *http.Response, err error, fromTargetDaemon bool) {
	plan := f.loop.View().Plan(j.service)
	if !plan.TakesShare() && !plan.IsEnding() {
		return
	}
	answer := canary.NewAnswer(m.Name(), m.Version(), canary.Route(j.route.Host()+" "+string(j.pattern)))
	if err == nil {
		answer = answer.WithTime(tookOf(resp))
		if resp.StatusCode >= http.StatusInternalServerError && len(resp.Header[headerCallFailed]) == 0 {
			answer = answer.AsFailed()
		}
	} else {
		r := refusalOf(err)
		if _, mayHaveRun := r.Run().(model.MayHaveRun); !mayHaveRun {
			return
		}
		_, late := r.Reason().(model.Late)
		_, broken := r.Reason().(model.Broken)
		switch {
		case late:
			answer = answer.AsLate()
		case broken && fromTargetDaemon:
			answer = answer.AsFailed()
		default:
			return
		}
	}
	f.loop.Exposure().Observe(plan, answer)
	f.meter.CountVersion(j.service, cmp.Or(m.Version(), unlistedVersion), canary.OutcomeName(answer))
}

// markForRollout sets the headers that tell the entry daemon how long the target took,
// and that a response is a failure (5xx) after a call of the request was refused or
// failed, while the service has an order.
func (f *Front) markForRollout(resp *http.Response, e *execution) {
	if !f.loop.View().Plan(f.prefs.Service()).HasOrder() {
		return
	}
	resp.Header.Set(headerTook, strconv.FormatInt(e.took.Microseconds(), 10))
	if resp.StatusCode >= http.StatusInternalServerError && f.running.sawRefusal(e.token) {
		resp.Header.Set(headerCallFailed, "true")
	}
}

// tookOf returns the time that the target took, zero if its daemon does not tell.
func tookOf(resp *http.Response) time.Duration {
	us, err := strconv.ParseUint(resp.Header.Get(headerTook), 10, 40)
	if err != nil {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// hasUntried reports whether some of the members were not tried yet.
func hasUntried(members []fleet.Member, tried map[model.Instance]bool) bool {
	return slices.ContainsFunc(members, func(m fleet.Member) bool { return !tried[m.Name()] })
}
