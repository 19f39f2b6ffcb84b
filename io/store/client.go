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

// Client is a Store that reaches the service over HTTP. It sends GET and PUT
// requests to /key/NAME, with the expected version in the query; responses carry
// the key's version in the header Version, and the service's era in the header Era if it
// has eras. It is safe for concurrent use.
type Client struct {
	Eras
	baseURL    string
	httpClient *http.Client
}

// EraHeader is the header of the service's era.
const EraHeader = "Era"

// Timeouts of store calls.
const (
	// CallTimeout bounds a read or a write.
	CallTimeout = 2 * time.Second
	// WatchTimeout is how long the service waits for a change before it answers a
	// watch with the unchanged value.
	WatchTimeout = 30 * time.Second
)

// NewClient returns a client of the service at a base URL such as
// http://host:port.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	return &Client{baseURL: baseURL, httpClient: httpClient}
}

// Get reads a key within CallTimeout. The error wraps ErrUnavailable, also when the
// value is cut off or larger than MaxValue, unless the response has no valid
// version.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return c.get(ctx, key, nil)
}

// Watch returns a key once its version differs from the given one, or unchanged
// after WatchTimeout. Errors are those of Get.
func (c *Client) Watch(ctx context.Context, key string, version uint64) (Item, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+CallTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatUint(version, 10))
	query.Set("wait", strconv.FormatInt(WatchTimeout.Milliseconds(), 10))
	return c.get(ctx, key, query)
}

// Swap writes a key that has the given version, within CallTimeout, and returns the
// new version. A ttl above zero, in whole milliseconds, is the time after which the
// value expires unless it is written again. The error wraps ErrConflict,
// ErrUnavailable or ErrOutcomeUnknown, unless the response has no valid version:
// then the write took effect and only its version is unknown.
func (c *Client) Swap(ctx context.Context, key string, version uint64, data []byte, ttl time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("version", strconv.FormatUint(version, 10))
	query.Set("lease", strconv.FormatInt(ttl.Milliseconds(), 10))
	resp, err := c.do(ctx, http.MethodPut, key, query, data)
	if err != nil {
		return 0, errors.Wrapf(ErrOutcomeUnknown, "swap %s at %s: %v", key, c.baseURL, err)
	}
	defer discardBody(resp)
	if _, err := c.observe(resp); err != nil {
		return 0, errors.Wrapf(ErrOutcomeUnknown, "swap %s at %s: %v", key, c.baseURL, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return parseVersion(resp)
	case http.StatusConflict:
		return 0, errors.Wrapf(ErrConflict, "swap %s at %s", key, c.baseURL)
	case http.StatusServiceUnavailable:
		return 0, errors.Wrapf(ErrUnavailable, "swap %s at %s", key, c.baseURL)
	}
	return 0, errors.Wrapf(ErrOutcomeUnknown, "swap %s at %s: status %d", key, c.baseURL, resp.StatusCode)
}

func (c *Client) get(ctx context.Context, key string, query url.Values) (Item, error) {
	resp, err := c.do(ctx, http.MethodGet, key, query, nil)
	if err != nil {
		return Item{}, errors.Wrapf(ErrUnavailable, "read %s at %s: %v", key, c.baseURL, err)
	}
	defer discardBody(resp)
	era, err := c.observe(resp)
	if err != nil {
		return Item{}, errors.Wrapf(ErrUnavailable, "read %s at %s: %v", key, c.baseURL, err)
	}
	if resp.StatusCode == http.StatusNotFound {
		return NewAbsent(era), nil
	}
	if resp.StatusCode != http.StatusOK {
		return Item{}, errors.Wrapf(ErrUnavailable, "read %s at %s: status %d", key, c.baseURL, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxValue+1))
	if err != nil || len(data) > MaxValue {
		return Item{}, errors.Wrapf(ErrUnavailable, "read %s at %s: value cut off or too large", key, c.baseURL)
	}
	version, err := parseVersion(resp)
	return NewItem(data, version), err
}

// observe returns the era of a response and records it. The error means that the response
// is older than another one.
func (c *Client) observe(resp *http.Response) (uint64, error) {
	text := resp.Header.Get(EraHeader)
	if text == "" {
		return c.Era(), nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read era")
	}
	if !c.Observe(era) {
		return 0, errors.Errorf("response of era %d, known is era %d", era, c.Era())
	}
	return era, nil
}

func (c *Client) do(ctx context.Context, method, key string, query url.Values, data []byte) (*http.Response, error) {
	address := c.baseURL + "/key/" + url.PathEscape(key) + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return c.httpClient.Do(req)
}

// parseVersion returns the version of a key from the header Version. Its error
// wraps none of the errors of a Store.
func parseVersion(resp *http.Response) (uint64, error) {
	n, err := strconv.ParseUint(resp.Header.Get("Version"), 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read version")
	}
	return n, nil
}

// discardBody reads the rest of a response, so that its connection can be used
// again, and closes it.
func discardBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, MaxValue))
	_ = resp.Body.Close()
}
