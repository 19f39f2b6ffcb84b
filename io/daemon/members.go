package daemon

import (
	"slices"

	"github.com/hashicorp/go-hclog"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/io/ctrl"
)

// memberLog logs which members get no requests because they have ended or refuse
// connections, and which get some again.
type memberLog struct {
	log     hclog.Logger
	leftOut []fleet.Member
}

// maxLoggedNames bounds the names in a log line.
const maxLoggedNames = 16

// observe logs how the members left out differ from those of the previous view. It
// logs nothing while they are the same.
func (l *memberLog) observe(v *ctrl.View) {
	leftOut := v.LeftOut()
	if slices.Equal(leftOut, l.leftOut) {
		return
	}
	l.log.Info("members", "out", missingFrom(l.leftOut, leftOut), "back", missingFrom(leftOut, l.leftOut),
		"left", len(leftOut), "known", len(v.Members()))
	l.leftOut = leftOut
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
