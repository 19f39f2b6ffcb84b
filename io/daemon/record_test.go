package daemon_test

import (
	"net/http"
	"testing"
)

// TestDamagedQuotaRecord guards against an organisation that is refused for good because
// its quota record does not decode.
func TestDamagedQuotaRecord(t *testing.T) {
	f := newFleet(t)
	if _, err := f.store.Swap(t.Context(), "share.acme", 0, []byte("nonsense"), 0); err != nil {
		t.Fatal(err)
	}
	entry := f.add("entry-north-1", notFound(), "")
	f.add("stock-north-1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), "")
	f.configure(entry)
	resp, text, err := entry.do(t.Context(), http.MethodGet, "/stock/items", nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Error(resp, text, err)
	}
}
