package wire

import "net/http"

// MaxResponseHeaderBytes is the largest header of a response that a daemon reads, in
// bytes. Whoever sends more is faulty, and what it sends must not fill the memory.
const MaxResponseHeaderBytes = 64 << 10

// NewClient returns an HTTP client for the store and for other daemons, with its
// connections on network n.
func NewClient(n Network) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            n.DialContext,
		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}}
}
