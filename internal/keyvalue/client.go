package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// watchWait is how long the service holds a watch, a long poll, without a change.
const watchWait = 20 * time.Second

// Client calls the key-value service over HTTP.
type Client struct {
	// Address is the base URL.
	Address string
	// Timeout bounds each call; 0 means no bound. The time for which the service holds
	// a watch is added to it.
	Timeout time.Duration
	// HTTP sends the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// listing is the response body of List, Watch and ChangesSince.
type listing struct {
	Entries  []Entry `json:"Entries"`
	Revision int64   `json:"Revision"`
}

// Get returns the entry of key.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.call(ctx, http.MethodGet, "/v1/kv/"+url.PathEscape(key), nil, nil, c.Timeout, &e)
	return e, err
}

// List returns the entries whose keys start with prefix, in key order, and the
// revision of the service at that moment.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, int64, error) {
	var l listing
	err := c.call(ctx, http.MethodGet, "/v1/list", url.Values{"prefix": {prefix}}, nil, c.Timeout, &l)
	return l.Entries, l.Revision, err
}

// CompareAndSwap writes value if the key is at revision; revision 0 creates the key.
// The key is deleted when the lease ends; an empty lease means none.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (Entry, error) {
	if len(value) > MaxValueBytes {
		return Entry{}, errors.Annotatef(ErrTooLarge, "key %q has %d bytes", key, len(value))
	}
	query := url.Values{"revision": {strconv.FormatInt(revision, 10)}}
	if lease != "" {
		query.Set("lease", lease)
	}
	var e Entry
	err := c.call(ctx, http.MethodPut, "/v1/kv/"+url.PathEscape(key), query, value, c.Timeout, &e)
	return e, err
}

// Delete removes key if it is at revision.
func (c *Client) Delete(ctx context.Context, key string, revision int64) error {
	query := url.Values{"revision": {strconv.FormatInt(revision, 10)}}
	return c.call(ctx, http.MethodDelete, "/v1/kv/"+url.PathEscape(key), query, nil, c.Timeout, nil)
}

// Grant creates a lease, or renews it if it exists.
func (c *Client) Grant(ctx context.Context, lease string, ttl time.Duration) error {
	return c.call(ctx, http.MethodPost, "/v1/leases/"+url.PathEscape(lease), url.Values{"ttl": {ttl.String()}}, nil, c.Timeout, nil)
}

// Renew restarts the time to live of a lease.
func (c *Client) Renew(ctx context.Context, lease string) error {
	return c.call(ctx, http.MethodPost, "/v1/leases/"+url.PathEscape(lease)+"/renew", nil, nil, c.Timeout, nil)
}

// Watch waits for changes of keys with prefix after the given revision and returns
// the changed entries and the revision for the next call. It returns no entries
// after watchWait without a change.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) ([]Entry, int64, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)}, "wait": {watchWait.String()}}
	var l listing
	err := c.call(ctx, http.MethodGet, "/v1/watch", query, nil, watchWait+c.Timeout, &l)
	return l.Entries, l.Revision, err
}

// ChangesSince returns the entries with prefix that changed after the given revision, and
// the revision of the service at that moment. Unlike Watch, it does not wait.
func (c *Client) ChangesSince(ctx context.Context, prefix string, after int64) ([]Entry, int64, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)}, "wait": {"0s"}}
	var l listing
	err := c.call(ctx, http.MethodGet, "/v1/watch", query, nil, c.Timeout, &l)
	return l.Entries, l.Revision, err
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, timeout time.Duration, result any) error {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	target := c.Address + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Annotate(err, "build call to the key-value service")
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return errors.Annotatef(transportError(method, err), "%s %s: %v", method, path, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, 64*MaxValueBytes))
	if err != nil {
		return errors.Annotatef(transportError(method, err), "%s %s: %v", method, path, err)
	}
	return decodeResponse(res.StatusCode, data, result)
}

// transportError classifies a call without a response. Reads and calls that failed
// to connect had no effect; any other call may have taken effect.
func transportError(method string, err error) error {
	if method == http.MethodGet {
		return ErrUnavailable
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrOutcomeUnknown
}

func decodeResponse(status int, data []byte, result any) error {
	switch status {
	case http.StatusOK:
		if result == nil {
			return nil
		}
		return errors.Annotate(json.Unmarshal(data, result), "decode answer of the key-value service")
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrLeaseLapsed
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusConflict:
		var conflict ConflictError
		if err := json.Unmarshal(data, &conflict.Current); err != nil {
			return errors.Annotate(err, "decode conflict of the key-value service")
		}
		return &conflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	default:
		return errors.Errorf("key-value service answered status %d", status)
	}
}
