package quota

import "time"

// Slack is how many tokens an organisation may get beyond its rate and burst in a
// window of time. A daemon that takes over a lease may issue half of the slack
// before its predecessor's batches have expired. The zero value allows nothing.
type Slack struct {
	fraction float64 // of rate * window + burst
	tokens   float64 // in addition
	window   time.Duration
}

// NewSlack returns a slack of a fraction of what rate and burst allow in the
// window, plus a number of tokens.
func NewSlack(fraction, tokens float64, window time.Duration) Slack {
	return Slack{fraction: fraction, tokens: tokens, window: window}
}

// slackDivisor limits one takeover to half of the slack. The rest is for
// requests that wait after their token was spent.
const slackDivisor = 2

// SetSlack sets what a takeover may issue beyond rate and burst.
func (mgr *Manager) SetSlack(s Slack) { mgr.slack = s }

// assumeOutstanding returns how many of a predecessor's tokens count as
// outstanding until its batches have expired: those that it may have issued,
// less a takeover's part of the slack.
func (mgr *Manager) assumeOutstanding(q *orgQuota, weight int, maxIssued float64) float64 {
	slack := mgr.slack.fraction*(q.rate*mgr.slack.window.Seconds()+q.burst) + mgr.slack.tokens
	return max(0, maxIssued-q.part(slack, weight)/slackDivisor)
}
