package share

import "time"

// Slack is what an organisation may get beyond its rate and burst in a window
// of time. A successor of a holder that died issues so much before the lumps of
// its predecessor have lapsed. The zero value is none.
type Slack struct {
	part   float64
	tokens float64
	window time.Duration
}

// NewSlack returns the slack of a part of rate and burst in a window, and some
// tokens.
func NewSlack(part, tokens float64, window time.Duration) Slack {
	return Slack{part: part, tokens: tokens, window: window}
}

// slackDivisor is the part of the slack that one succession may take. The rest
// is for requests that wait after their token was spent.
const slackDivisor = 2

// SetSlack sets what a succession may issue beyond the promise.
func (d *Desk) SetSlack(s Slack) { d.slack = s }

// assume returns how many tokens of those that a predecessor may have issued
// count as outstanding.
func (d *Desk) assume(a *account, weight int, issued float64) float64 {
	whole := d.slack.part*(a.rate*d.slack.window.Seconds()+a.burst) + d.slack.tokens
	return max(0, issued-a.part(whole, weight)/slackDivisor)
}
