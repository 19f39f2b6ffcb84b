package canary

import (
	"math"
	"time"
)

// Constants of the charts.
const (
	// alarmThreshold is h: by Lorden's bound a chart in control alarms at most once in
	// e^h = 1.2 million answers. From 0 it takes eight failures in a row.
	alarmThreshold = 14
	// baseFailed and baseSlow are the rates of bad answers that are in control
	// whatever the old version's are.
	baseFailed = 0.01
	baseSlow   = 0.06
	// widening is how much higher than the old version's rate is in control: targets
	// of one version differ, too.
	widening = 1.5
	// failedStep and slowStep are added to twice the rate in control to get the rate
	// that the chart is tuned to.
	failedStep = 0.06
	slowStep   = 0.15
	// maxTuned is the highest rate that a chart is tuned to. If that is less than
	// minContrast above the rate in control, the versions can't be told apart: the old
	// one is as bad.
	maxTuned    = 0.9
	minContrast = 0.05
	// memory is the number of the old version's answers after which earlier ones have
	// little weight, maxForgotten the part that one update forgets at most.
	memory       = 100
	maxForgotten = 0.3
	// priorAnswers is the weight of the long-term rate in the recent one.
	priorAnswers = 20
	// minCompared is the weight of the old version's answers before times are compared.
	minCompared = 15
	// inControlFactor is how much longer the new version's answers may take on average,
	// tunedFactor the slowness that the chart is tuned to.
	inControlFactor = 1.5
	tunedFactor     = 2.5
	// promotedFactor is how much longer the answers of a version that is promoted may
	// take on average, on each route with minCompared of them.
	promotedFactor = 1.6
	// minVariance is the least variance of the logarithms. With it one answer counts
	// for no more than one failure does.
	minVariance = 0.25
	// logScale is the unit of logarithms in a tally.
	logScale = 1000
)

// keptWeight returns the part of what was known that is kept with a number of new answers.
func keptWeight(answers uint64) float64 { return 1 - min(maxForgotten, float64(answers)/memory) }

// chart is Page's CUSUM of the log likelihood ratio of bad answers.
type chart struct {
	sum        float64
	answers    float64 // of the old version, lately
	bad        float64
	allAnswers float64
	allBad     float64
	base, step float64
}

func newFailedChart() chart { return chart{base: baseFailed, step: failedStep} }
func newSlowChart() chart   { return chart{base: baseSlow, step: slowStep} }

// update takes answers of both versions that came at the same time.
func (c *chart) update(oldAnswers, oldBad, newAnswers, newBad uint64) {
	if oldAnswers > 0 {
		kept := keptWeight(oldAnswers)
		c.answers, c.bad = c.answers*kept+float64(oldAnswers), c.bad*kept+float64(oldBad)
		c.allAnswers, c.allBad = c.allAnswers+float64(oldAnswers), c.allBad+float64(oldBad)
	}
	if newAnswers == 0 {
		return
	}
	inControl := c.inControl()
	tuned := min(maxTuned, 2*inControl+c.step)
	if tuned < inControl+minContrast {
		return
	}
	bad, good := float64(newBad), float64(newAnswers-newBad)
	c.sum = max(0, c.sum+bad*math.Log(tuned/inControl)+good*math.Log((1-tuned)/(1-inControl)))
}

// inControl returns the rate of bad answers that the new version may have: the higher of
// the old version's recent and long-term rates, widened.
func (c *chart) inControl() float64 {
	longTerm := 0.0
	if c.allAnswers > 0 {
		longTerm = c.allBad / c.allAnswers
	}
	recent := (c.bad + longTerm*priorAnswers) / (c.answers + priorAnswers)
	return max(recent, longTerm)*widening + c.base
}

// shift is Page's CUSUM of the log likelihood ratio of the logarithms of times, taken to
// be normally distributed with the old version's recent variance.
type shift struct {
	sum     float64
	answers float64 // of the old version, lately
	logs    float64
	squares float64
}

func (s *shift) update(olds, news Tally) {
	if olds.timed > 0 {
		kept := keptWeight(olds.timed)
		s.answers = s.answers*kept + float64(olds.timed)
		s.logs = s.logs*kept + float64(olds.logs)/logScale
		s.squares = s.squares*kept + float64(olds.squares)/logScale
	}
	if news.timed == 0 || s.answers < minCompared {
		return
	}
	mean := s.logs / s.answers
	variance := max(minVariance, s.squares/s.answers-mean*mean)
	low, high := math.Log(inControlFactor), math.Log(tunedFactor)
	excess := float64(news.logs)/logScale - float64(news.timed)*(mean+(low+high)/2)
	s.sum = max(0, s.sum+(high-low)*excess/variance)
}

// usual returns the geometric mean of the old version's recent times, zero if too few are
// known.
func (s *shift) usual() time.Duration {
	if s.answers < minCompared {
		return 0
	}
	return time.Duration(math.Exp(s.logs/s.answers) * float64(time.Microsecond))
}

// Alarm is what a chart has found about the new version's answers on a route.
//
//sumtype:decl
type Alarm interface{ isAlarm() }

// Members of Alarm.
type (
	// Failures means that more of them are failures.
	Failures struct{}
	// SlowAnswers means that more of them take several times longer than usual.
	SlowAnswers struct{}
	// Slower means that they take longer on average.
	Slower struct{}
)

func (Failures) isAlarm()    {}
func (SlowAnswers) isAlarm() {}
func (Slower) isAlarm()      {}

// AlarmName returns the name of an alarm in logs.
func AlarmName(a Alarm) string {
	switch a.(type) {
	case Failures:
		return "failures"
	case SlowAnswers:
		return "slow answers"
	case Slower:
		return "slower"
	}
	return "unknown"
}

// Judge compares the new version with the old one on each route. The zero value has
// seen nothing.
type Judge struct {
	last   Counts
	charts map[Route]*charts
	// failed and slow are charts of all routes together. They raise no alarm, since routes
	// differ, but no version is promoted against them: a few bad answers on each of several
	// routes are below the threshold there.
	failed, slow chart
	alarm        Alarm // the first one, nil if there was none
	route        Route // of the alarm
}

// charts are those of one route.
type charts struct {
	failed, slow chart
	shift        shift
}

// Update takes counts that only grow.
func (j *Judge) Update(counts Counts) {
	if j.charts == nil {
		j.charts = map[Route]*charts{}
		j.failed, j.slow = newFailedChart(), newSlowChart()
	}
	rows := counts.since(j.last)
	for _, row := range rows {
		c, ok := j.charts[row.route]
		if !ok {
			c = &charts{failed: newFailedChart(), slow: newSlowChart()}
			j.charts[row.route] = c
		}
		c.failed.update(row.olds.answers, row.olds.failed, row.news.answers, row.news.failed)
		c.slow.update(row.olds.timed, row.olds.slow, row.news.timed, row.news.slow)
		c.shift.update(row.olds, row.news)
		j.note(row.route, c)
	}
	olds, news := rows.Totals()
	j.failed.update(olds.answers, olds.failed, news.answers, news.failed)
	j.slow.update(olds.timed, olds.slow, news.timed, news.slow)
	j.last = counts
}

func (j *Judge) note(r Route, c *charts) {
	if j.alarm != nil {
		return
	}
	switch {
	case c.failed.sum >= alarmThreshold:
		j.alarm, j.route = Failures{}, r
	case c.slow.sum >= alarmThreshold:
		j.alarm, j.route = SlowAnswers{}, r
	case c.shift.sum >= alarmThreshold:
		j.alarm, j.route = Slower{}, r
	}
}

// Alarm returns the first alarm and its route, nil if there was none.
func (j *Judge) Alarm() (Alarm, Route) { return j.alarm, j.route }

// IsClear reports whether no chart is above half of the threshold.
func (j *Judge) IsClear() bool {
	for _, c := range j.charts {
		if max(c.failed.sum, c.slow.sum, c.shift.sum) > alarmThreshold/2 {
			return false
		}
	}
	return j.alarm == nil && max(j.failed.sum, j.slow.sum) <= alarmThreshold/2
}

// IsClearByFew reports whether few answers show nothing against the new version: about
// three bad ones more than usual do.
func (j *Judge) IsClearByFew() bool {
	return j.IsClear() && max(j.failed.sum, j.slow.sum) <= alarmThreshold/4
}

// IsAsFast reports whether the new version's answers take about as long as the old one's.
// Between what an alarm needs and what this allows the evidence supports no decision.
func (j *Judge) IsAsFast() bool {
	for _, row := range j.last {
		o, n := row.olds, row.news
		if o.timed < minCompared || n.timed < minCompared {
			continue
		}
		difference := float64(n.logs)/float64(n.timed) - float64(o.logs)/float64(o.timed)
		if difference > math.Log(promotedFactor)*logScale {
			return false
		}
	}
	return true
}

// usualTimes returns the usual times of the old version by route.
func (j *Judge) usualTimes() map[Route]time.Duration {
	times := map[Route]time.Duration{}
	for r, c := range j.charts {
		if d := c.shift.usual(); d > 0 {
			times[r] = d
		}
	}
	return times
}
