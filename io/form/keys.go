package form

import (
	"net/http"
	"net/url"
	"strings"
)

// Bearer begins the header Authorization of a key.
const Bearer = "Bearer "

// keysOf returns the keys that came with a request, the one that counts first:
// a bearer token, the header Key, the query parameter key or the cookie key.
func keysOf(r *http.Request) []string {
	var keys []string
	add := func(key string) {
		if key != "" {
			keys = append(keys, key)
		}
	}
	if v := r.Header.Get("Authorization"); len(v) > len(Bearer) && strings.EqualFold(v[:len(Bearer)], Bearer) {
		add(strings.TrimSpace(v[len(Bearer):]))
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

// stripKeys takes every place where a key may stand out of what goes on, and
// any other header or query value that holds one of these keys.
func stripKeys(h http.Header, u *url.URL, keys []string) {
	delete(h, "Authorization")
	delete(h, headerKey)
	stripCookie(h)
	for name, list := range h {
		if isKept(keys, name, list) {
			continue
		}
		delete(h, name)
	}
	if u.RawQuery != "" {
		u.RawQuery = stripQuery(u.RawQuery, keys)
	}
}

func isKept(keys []string, name string, list []string) bool {
	if ContainsKey(name, keys) {
		return false
	}
	for _, v := range list {
		if ContainsKey(v, keys) {
			return false
		}
	}
	return true
}

// ContainsKey reports whether a text holds a key, as it stands or escaped as in a
// URL. Case does not count, as header names have none.
func ContainsKey(text string, keys []string) bool {
	for _, key := range keys {
		if containsFold(text, key) {
			return true
		}
		if !strings.ContainsAny(text, "%+") {
			continue
		}
		if plain, err := url.QueryUnescape(text); err == nil && containsFold(plain, key) {
			return true
		}
		if plain, err := url.PathUnescape(text); err == nil && containsFold(plain, key) {
			return true
		}
	}
	return false
}

func containsFold(text, key string) bool {
	for i := 0; i+len(key) <= len(text); i++ {
		if strings.EqualFold(text[i:i+len(key)], key) {
			return true
		}
	}
	return false
}

// stripQuery drops the parameters named key, and those that hold a key. The
// others stay as they were written.
func stripQuery(query string, keys []string) string {
	var kept []string
	for pair := range strings.SplitSeq(query, "&") {
		if !isKeyParameter(pair) && !ContainsKey(pair, keys) {
			kept = append(kept, pair)
		}
	}
	return strings.Join(kept, "&")
}

func isKeyParameter(pair string) bool {
	for part := range strings.SplitSeq(pair, ";") {
		name, _, _ := strings.Cut(part, "=")
		if plain, err := url.QueryUnescape(name); err == nil {
			name = plain
		}
		if strings.EqualFold(name, "key") {
			return true
		}
	}
	return false
}

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
