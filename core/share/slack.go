package share

import "time"

// Slack is what an organisation may get beyond its rate and burst in a window
// of time. A successor of a holder that died issues so much before the lumps of
// its predecessor have lapsed. The zero value is none.
type Slack struct {
	fraction   float64
	tokens float64
	window time.Duration
}

// NewSlack returns the slack of a part of rate and burst in a window, and some
// tokens.
func NewSlack(fraction, tokens float64, window time.Duration) Slack {
	return Slack{fraction: fraction, tokens: tokens, window: window}
}

// slackDivisor is the part of the slack that one succession may take. The rest
// is for requests that wait after their token was spent.
const slackDivisor = 2

// SetSlack sets what a succession may issue beyond the promise.
func (mgr *Desk) SetSlack(s Slack) { mgr.slack = s }

// assumeOutstanding returns how many tokens of those that a predecessor may have issued
// count as outstanding.
func (mgr *Desk) assumeOutstanding(q *quota, weight int, issued float64) float64 {
	allowance := mgr.slack.fraction*(q.rate*mgr.slack.window.Seconds()+q.burst) + mgr.slack.tokens
	return max(0, issued-q.part(allowance, weight)/slackDivisor)
}
