package front

import (
	"net/http"
	"net/url"
	"strings"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader copies the headers that go end to end.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}

// keyOf returns the key that came with a request: a bearer token, the header
// Key, the query parameter key or the cookie key.
func keyOf(r *http.Request) string {
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return token
	}
	if key := r.Header.Get(headerKey); key != "" {
		return key
	}
	if key := r.URL.Query().Get("key"); key != "" {
		return key
	}
	if c, err := r.Cookie("key"); err == nil {
		return c.Value
	}
	return ""
}

// stripKey takes every place where a key may stand out of what goes on, and
// any other header or query value that holds this key.
func stripKey(h http.Header, u *url.URL, key string) {
	h.Del("Authorization")
	h.Del(headerKey)
	stripCookie(h)
	query := u.Query()
	query.Del("key")
	if key != "" {
		stripValues(h, key)
		stripValues(query, key)
	}
	if u.RawQuery != "" {
		u.RawQuery = query.Encode()
	}
}

func stripValues(values map[string][]string, key string) {
	for name, list := range values {
		for _, v := range list {
			if strings.Contains(v, key) {
				delete(values, name)
				break
			}
		}
	}
}

func stripCookie(h http.Header) {
	cookies := (&http.Request{Header: h}).Cookies()
	if len(cookies) == 0 {
		return
	}
	h.Del("Cookie")
	for _, c := range cookies {
		if !strings.EqualFold(c.Name, "key") {
			(&http.Request{Header: h}).AddCookie(c)
		}
	}
}
