package daemon

import (
	"slices"

	"github.com/hashicorp/go-hclog"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/io/ctrl"
)

// memberLog logs which members are taken to have ended, and which no longer are.
type memberLog struct {
	log   hclog.Logger
	ended []fleet.Member
}

// maxLoggedNames bounds the names in a log line.
const maxLoggedNames = 16

// observe logs how the ended members differ from those of the previous view. It
// logs nothing while they are the same.
func (l *memberLog) observe(v *ctrl.View) {
	ended := v.Ended()
	if slices.Equal(ended, l.ended) {
		return
	}
	l.log.Info("members", "ended", missingFrom(l.ended, ended), "back", missingFrom(ended, l.ended),
		"out", len(ended), "known", len(v.Members()))
	l.ended = ended
}

// missingFrom returns the names of those of members that list lacks, at most
// maxLoggedNames.
func missingFrom(list, members []fleet.Member) []model.Instance {
	names := []model.Instance{}
	for _, m := range members {
		if len(names) < maxLoggedNames && !slices.Contains(list, m) {
			names = append(names, m.Name())
		}
	}
	return names
}
