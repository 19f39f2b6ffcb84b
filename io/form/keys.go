package form

import (
	"net/http"
	"net/url"
	"strings"
)

// BearerPrefix is the prefix of an Authorization header that carries an API key, or the
// secret of the daemons. Case does not matter when a key is read.
const BearerPrefix = "Bearer "

// keysOf returns the API keys of a request in order of precedence: the bearer token
// in Authorization, the header Key, the query parameter key, the cookie key.
func keysOf(r *http.Request) []string {
	var keys []string
	add := func(key string) {
		if key != "" {
			keys = append(keys, key)
		}
	}
	if v := r.Header.Get("Authorization"); len(v) > len(BearerPrefix) && strings.EqualFold(v[:len(BearerPrefix)], BearerPrefix) {
		add(strings.TrimSpace(v[len(BearerPrefix):]))
	}
	add(r.Header.Get(headerKey))
	if r.URL.RawQuery != "" {
		add(r.URL.Query().Get("key"))
	}
	if len(r.Header["Cookie"]) > 0 {
		for _, c := range r.CookiesNamed("key") {
			add(c.Value)
		}
	}
	return keys
}

// stripKeys removes from a request that is forwarded everything that may carry an API
// key (the headers Authorization and Key, the cookie and the query parameter key),
// and every other header and query parameter that contains one of keys.
func stripKeys(h http.Header, u *url.URL, keys []string) {
	delete(h, "Authorization")
	delete(h, headerKey)
	stripCookie(h)
	for name, values := range h {
		if hasNoKey(keys, name, values) {
			continue
		}
		delete(h, name)
	}
	if u.RawQuery != "" {
		u.RawQuery = stripQuery(u.RawQuery, keys)
	}
}

// hasNoKey reports whether neither the name nor a value of a header contains a key.
func hasNoKey(keys []string, name string, values []string) bool {
	if ContainsKey(name, keys) {
		return false
	}
	for _, v := range values {
		if ContainsKey(v, keys) {
			return false
		}
	}
	return true
}

// ContainsKey reports whether a text contains one of keys, literally or URL-escaped.
// It ignores case, because header names are case-insensitive.
func ContainsKey(text string, keys []string) bool {
	for _, key := range keys {
		if containsFold(text, key) {
			return true
		}
		if !strings.ContainsAny(text, "%+") {
			continue
		}
		if unescaped, err := url.QueryUnescape(text); err == nil && containsFold(unescaped, key) {
			return true
		}
		if unescaped, err := url.PathUnescape(text); err == nil && containsFold(unescaped, key) {
			return true
		}
	}
	return false
}

// containsFold reports whether a text contains a key, regardless of case.
func containsFold(text, key string) bool {
	for i := 0; i+len(key) <= len(text); i++ {
		if strings.EqualFold(text[i:i+len(key)], key) {
			return true
		}
	}
	return false
}

// stripQuery removes the parameters named key and those that contain one of keys from
// a raw query. The others stay as they were written.
func stripQuery(query string, keys []string) string {
	var kept []string
	for pair := range strings.SplitSeq(query, "&") {
		if !isKeyParameter(pair) && !ContainsKey(pair, keys) {
			kept = append(kept, pair)
		}
	}
	return strings.Join(kept, "&")
}

// isKeyParameter reports whether the name of a query parameter is key. Some servers
// also separate parameters by semicolons, so that each part is checked.
func isKeyParameter(pair string) bool {
	for part := range strings.SplitSeq(pair, ";") {
		name, _, _ := strings.Cut(part, "=")
		if unescaped, err := url.QueryUnescape(name); err == nil {
			name = unescaped
		}
		if strings.EqualFold(name, "key") {
			return true
		}
	}
	return false
}

// stripCookie removes the cookie key and keeps the others.
func stripCookie(h http.Header) {
	if len(h["Cookie"]) == 0 {
		return
	}
	cookies := (&http.Request{Header: h}).Cookies()
	h.Del("Cookie")
	for _, c := range cookies {
		if !strings.EqualFold(c.Name, "key") {
			(&http.Request{Header: h}).AddCookie(c)
		}
	}
}
