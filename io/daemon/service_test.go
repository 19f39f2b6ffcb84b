package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/model"
	"anvilstand/io/codec"
)

// TestAddressTakenOver sends a relayed request for one service to an address where
// the daemon of another service now listens. The request must not run there.
func TestAddressTakenOver(t *testing.T) {
	cases := map[string]struct {
		service model.Service
		status  int
		runs    int64
	}{
		"same service":     {service: "stock", status: http.StatusOK, runs: 1},
		"another service":  {service: "refunds", status: http.StatusServiceUnavailable},
		"no service given": {status: http.StatusOK, runs: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			f := newFleet(t)
			stock := f.add("stock-north-1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }), "")
			f.configure(stock)
			call := model.NewCall("r1", "", model.RankHighest).WithTimeLeft(time.Second).WithService(tc.service)
			req, err := http.NewRequest(http.MethodGet, "http://"+stock.Loop().View().Self().Address()+"/relay/items", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer peer-secret")
			req.Header.Set("Anvil", codec.EncodeCall(call))
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			text, _ := io.ReadAll(resp.Body)
			if diff := cmp.Diff(tc.status, resp.StatusCode); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(tc.runs, runs.Load()); diff != "" {
				t.Error(diff)
			}
			if tc.runs == 0 && !strings.Contains(string(text), `"run":"not"`) {
				t.Errorf("response %s, want run not", text)
			}
		})
	}
}
