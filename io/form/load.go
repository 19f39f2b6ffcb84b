package form

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"anvilstand/core/load"
)

// DecodeLoad decodes a load report: requests running, requests waiting and slots, and from
// some targets the time that work takes now in percent of the usual time, separated by
// commas. Without the fourth figure the report has no slowdown.
func DecodeLoad(text string) (load.Report, error) {
	figures := strings.Split(text, ",")
	if len(figures) != 3 && len(figures) != 4 {
		return load.Report{}, errors.Errorf("load report %q: want 3 or 4 figures", text)
	}
	var n [4]int
	for i, figure := range figures {
		var err error
		if n[i], err = strconv.Atoi(strings.TrimSpace(figure)); err != nil {
			return load.Report{}, errors.Errorf("load report %q: figure %d is no whole number", text, i+1)
		}
	}
	r, err := load.NewReport(n[0], n[1], n[2])
	if err != nil || len(figures) == 3 {
		return r, err
	}
	return r.WithSlowdown(float64(n[3]) / 100)
}
