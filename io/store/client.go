package store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Client speaks to the service over HTTP: GET and PUT on /key/NAME, with the
// version in the query and in the header Version.
type Client struct {
	base   string
	caller *http.Client
}

// Times of a client.
const (
	// CallTimeout bounds a read or a write.
	CallTimeout = 2 * time.Second
	// WatchTimeout is how long the service may hold a watch open.
	WatchTimeout = 30 * time.Second
)

// NewClient returns a client of the service at a base URL.
func NewClient(base string, caller *http.Client) *Client {
	return &Client{base: base, caller: caller}
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return c.read(ctx, key, nil)
}

// Watch waits for a key to differ from a version.
func (c *Client) Watch(ctx context.Context, key string, version uint64) (Item, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+CallTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatUint(version, 10))
	query.Set("wait", strconv.FormatInt(WatchTimeout.Milliseconds(), 10))
	return c.read(ctx, key, query)
}

// Swap writes a key at a version.
func (c *Client) Swap(ctx context.Context, key string, version uint64, data []byte, lease time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("version", strconv.FormatUint(version, 10))
	query.Set("lease", strconv.FormatInt(lease.Milliseconds(), 10))
	w, err := c.do(ctx, http.MethodPut, key, query, data)
	if err != nil {
		return 0, errors.Wrapf(ErrUnknown, "swap %s at %s: %v", key, c.base, err)
	}
	defer drain(w)
	switch w.StatusCode {
	case http.StatusOK:
		return versionOf(w)
	case http.StatusConflict:
		return 0, errors.Wrapf(ErrConflict, "swap %s at %s", key, c.base)
	case http.StatusServiceUnavailable:
		return 0, errors.Wrapf(ErrAway, "swap %s at %s", key, c.base)
	}
	return 0, errors.Wrapf(ErrUnknown, "swap %s at %s: status %d", key, c.base, w.StatusCode)
}

func (c *Client) read(ctx context.Context, key string, query url.Values) (Item, error) {
	w, err := c.do(ctx, http.MethodGet, key, query, nil)
	if err != nil {
		return Item{}, errors.Wrapf(ErrAway, "read %s at %s: %v", key, c.base, err)
	}
	defer drain(w)
	if w.StatusCode == http.StatusNotFound {
		return Item{}, nil
	}
	if w.StatusCode != http.StatusOK {
		return Item{}, errors.Wrapf(ErrAway, "read %s at %s: status %d", key, c.base, w.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(w.Body, MaxValue+1))
	if err != nil || len(data) > MaxValue {
		return Item{}, errors.Wrapf(ErrAway, "read %s at %s: value cut off or too large", key, c.base)
	}
	version, err := versionOf(w)
	return Item{data: data, version: version}, err
}

func (c *Client) do(ctx context.Context, method, key string, query url.Values, data []byte) (*http.Response, error) {
	target := c.base + "/key/" + url.PathEscape(key) + "?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return c.caller.Do(r)
}

func versionOf(w *http.Response) (uint64, error) {
	n, err := strconv.ParseUint(w.Header.Get("Version"), 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read version")
	}
	return n, nil
}

func drain(w *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(w.Body, MaxValue))
	_ = w.Body.Close()
}
