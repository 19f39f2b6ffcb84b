package meter_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"anvilstand/core/model"
	"anvilstand/io/meter"
)

// TestObserveDuration checks the histogram's label for each outcome of a request.
func TestObserveDuration(t *testing.T) {
	cases := map[string]struct {
		refusal *model.Refusal
		outcome string
	}{
		"answered":        {outcome: "served"},
		"did not run":     {refusal: model.Refuse(model.Shed{}, 0), outcome: "refused"},
		"may have run":    {refusal: model.Fail(model.Broken{}), outcome: "failed"},
		"late in a queue": {refusal: model.Refuse(model.Late{}, 0), outcome: "refused"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := meter.New()
			m.ObserveDuration("stock", 30*time.Millisecond, tc.refusal)
			w := httptest.NewRecorder()
			m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			want := `anvilstand_request_seconds_bucket{outcome="` + tc.outcome + `",service="stock",le="0.05"} 1`
			if !strings.Contains(w.Body.String(), want) {
				t.Errorf("metrics lack %s", want)
			}
		})
	}
}
