package front

import (
	"net/http"
	"net/url"
	"strings"

	"anvilstand/io/form"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// daemonHeaders are answered by the daemons alone. A target's are dropped.
var daemonHeaders = []string{
	form.HeaderRefusal, form.HeaderCall, form.HeaderRequest, form.HeaderDrain,
	headerUnspent, headerLeaving, headerLevel,
}

// copyHeader copies the headers that go end to end.
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

// dropDaemonHeaders takes out of a target's answer what only daemons may say.
func dropDaemonHeaders(resp *http.Response) {
	for _, name := range daemonHeaders {
		delete(resp.Header, name)
		delete(resp.Trailer, name)
	}
}

// setPath gives a URL a path in its escaped form, as it came.
func setPath(u *url.URL, escaped string) {
	path, err := url.PathUnescape(escaped)
	if err != nil {
		path = escaped
	}
	u.Path, u.RawPath = path, escaped
}
