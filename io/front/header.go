package front

import (
	"net/http"
	"net/url"
	"strings"

	"anvilstand/io/form"
)

// hopHeaders apply to a single connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// daemonHeaders are set by daemons only. They are removed from a target's
// response.
var daemonHeaders = []string{
	form.HeaderRefusal, form.HeaderCall, form.HeaderRequest, form.HeaderDrain,
	headerUnspent, headerLeaving, headerLevel, headerStarved, headerCallFailed, headerTook,
}

// copyHeader copies the end-to-end headers: all but hopHeaders and those that
// Connection lists.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(to, name)
	}
}

// dropDaemonHeaders removes from a response the headers that only daemons may
// set.
func dropDaemonHeaders(resp *http.Response) {
	for _, name := range daemonHeaders {
		delete(resp.Header, name)
		delete(resp.Trailer, name)
	}
}

// rawPath returns the path of a request as it was received. The one in r.URL has escapes for
// bytes that need them, which some clients send as they are.
func rawPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// setPath sets the path of a URL from its raw form, which is sent as it is.
func setPath(u *url.URL, raw string) {
	path, err := url.PathUnescape(raw)
	if err != nil {
		path = raw
	}
	u.Path, u.RawPath = path, raw
	// Opaque is sent unchanged, unless it could be taken for the begin of an authority.
	if u.EscapedPath() != raw && !strings.HasPrefix(raw, "//") {
		u.Opaque = raw
	}
}
