package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
)

const (
	callTimeout = 2 * time.Second
	// maxAnswerBytes bounds an answer that is not a stream, such as an exported
	// KV cache.
	maxAnswerBytes = 64 << 20
)

// Client calls model engines over HTTP.
type Client struct {
	// HTTP sends the calls; nil means http.DefaultClient.
	HTTP *http.Client
	// Idle bounds the silence within a stream.
	Idle time.Duration
}

// Stream runs a completion at the engine with the given address and calls each
// for every token in order. It returns nil only when the answer is whole.
func (c *Client) Stream(ctx context.Context, address string, q Request, each func(Token) error) error {
	body, err := engineBody(q)
	if err != nil {
		return err
	}
	path := "/v1/completions"
	if q.Chat {
		path = "/v1/chat/completions"
	}
	return c.stream(ctx, http.MethodPost, "http://"+address+path, q.Stream, body, len(q.Prior), q.Started, each)
}

// Resume goes on with a stream after the given token.
func (c *Client) Resume(ctx context.Context, address, stream string, after int, each func(Token) error) error {
	target := "http://" + address + "/v1/streams/" + url.PathEscape(stream) + "?after=" + strconv.Itoa(after)
	return c.stream(ctx, http.MethodGet, target, stream, nil, after, nil, each)
}

// engineBody adds the engine's extension members to the caller's body.
func engineBody(q Request) ([]byte, error) {
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(q.Body, &members); err != nil {
		return nil, errors.Annotate(ErrRejected, "body is not a JSON object")
	}
	for name, value := range map[string]any{
		"stream": true, "priority": q.Priority, "prior_tokens": q.Prior, "prompt_blocks": q.Blocks,
	} {
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, errors.Annotatef(err, "encode member %q", name)
		}
		members[name] = raw
	}
	return json.Marshal(members)
}

func (c *Client) stream(ctx context.Context, method, target, stream string, body []byte, after int, started func(Load), each func(Token) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Annotate(err, "build engine request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-ID", stream)
	idle := time.AfterFunc(c.idle(), cancel)
	defer idle.Stop()
	res, err := c.client().Do(req)
	if err != nil {
		// Only a refused connection is certain; anything later may have started.
		return errors.Annotatef(startError(err), "%s: %v", target, err)
	}
	defer res.Body.Close()
	if err := statusError(res); err != nil {
		return err
	}
	if started != nil {
		started(headerLoad(res.Header))
	}
	return readTokens(res.Body, after, func(t Token) error {
		idle.Reset(c.idle())
		return each(t)
	})
}

// headerLoad reads the load that comes with the start of a stream.
func headerLoad(h http.Header) Load {
	running, _ := strconv.Atoi(h.Get("X-Engine-Running")) // A missing header is 0.
	waiting, _ := strconv.Atoi(h.Get("X-Engine-Waiting"))
	return Load{Running: running, Waiting: waiting}
}

func startError(err error) error {
	var op interface{ Timeout() bool }
	if errors.As(err, &op) && op.Timeout() {
		return ErrBroken
	}
	if isDial(err) {
		return ErrNotStarted
	}
	return ErrBroken
}

func statusError(res *http.Response) error {
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrNotStarted
	case http.StatusNotFound:
		return ErrNoStream
	case http.StatusConflict:
		return ErrFenced
	}
	text, _ := io.ReadAll(io.LimitReader(res.Body, 512)) // The status says enough without it.
	if res.StatusCode < http.StatusInternalServerError {
		return errors.Annotatef(ErrRejected, "status %d: %s", res.StatusCode, text)
	}
	return errors.Annotatef(ErrBroken, "status %d: %s", res.StatusCode, text)
}

// Cancel ends a stream at the engine.
func (c *Client) Cancel(ctx context.Context, address, stream string) error {
	return c.call(ctx, http.MethodPost, "http://"+address+"/v1/streams/"+url.PathEscape(stream)+"/cancel", nil, nil)
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	err := c.call(ctx, http.MethodGet, "http://"+address+"/v1/load", nil, &l)
	return l, err
}

// CacheEvents returns the cache events after the given number.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.call(ctx, http.MethodGet, "http://"+address+"/v1/cache-events?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

// Export returns the KV cache of a stream.
func (c *Client) Export(ctx context.Context, address, stream string) ([]byte, error) {
	var cache json.RawMessage
	err := c.call(ctx, http.MethodGet, "http://"+address+"/v1/kv-cache/"+url.PathEscape(stream), nil, &cache)
	return cache, err
}

// Import hands a KV cache to an engine, so that the next request for the stream
// needs no prefill.
func (c *Client) Import(ctx context.Context, address, stream string, cache []byte) error {
	return c.call(ctx, http.MethodPut, "http://"+address+"/v1/kv-cache/"+url.PathEscape(stream), cache, nil)
}

// Command sets the desired state of an engine.
func (c *Client) Command(ctx context.Context, address string, command Command) error {
	body, err := json.Marshal(command)
	if err != nil {
		return errors.Annotate(err, "encode command")
	}
	return c.call(ctx, http.MethodPost, "http://"+address+"/v1/commands", body, nil)
}

func (c *Client) call(ctx context.Context, method, target string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Annotate(err, "build engine call")
	}
	res, err := c.client().Do(req)
	if err != nil {
		return errors.Annotatef(startError(err), "%s: %v", target, err)
	}
	defer res.Body.Close()
	if err := statusError(res); err != nil || into == nil {
		return err
	}
	return errors.Annotate(json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(into), "decode engine answer")
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func (c *Client) idle() time.Duration {
	const defaultIdle = 30 * time.Second
	if c.Idle > 0 {
		return c.Idle
	}
	return defaultIdle
}
