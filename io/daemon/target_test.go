package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRequestLine checks that the target gets the path and query with the escapes
// that the caller sent.
func TestRequestLine(t *testing.T) {
	p := startPair(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, r.RequestURI)
	}))
	p.configure(t)
	cases := map[string]struct{ sent, want string }{
		"plain":        {sent: "/stock/items", want: "/items"},
		"query":        {sent: "/stock/items?a=1&b=%20", want: "/items?a=1&b=%20"},
		"escaped":      {sent: "/stock/items/a%2Fb%20c", want: "/items/a%2Fb%20c"},
		"double slash": {sent: "/stock/items//b", want: "/items//b"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			resp, text, err := p.get(t, tc.sent, withKey(orgKey))
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatal(resp, text, err)
			}
			if diff := cmp.Diff(tc.want, text); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNoConfiguration sends a request to a daemon that has no configuration yet.
func TestNoConfiguration(t *testing.T) {
	p := startPair(t, http.NotFoundHandler())
	resp, text, err := p.get(t, "/stock/items", withKey(orgKey))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(http.StatusServiceUnavailable, resp.StatusCode); diff != "" {
		t.Error(diff)
	}
	if want := `{"reason":"notarget","run":"not","wait":`; !strings.HasPrefix(text, want) {
		t.Errorf("response %s, want prefix %s", text, want)
	}
}
