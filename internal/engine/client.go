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
	// callTimeout bounds each call except a stream.
	callTimeout = 2 * time.Second
	// maxResponseBytes bounds a response that is not a stream, such as an exported
	// KV cache.
	maxResponseBytes = 64 << 20
)

// Client calls model engines over HTTP.
type Client struct {
	// HTTP sends the calls; nil means http.DefaultClient.
	HTTP *http.Client
	// IdleTimeout is the longest time without a token in a stream; 0 means the default.
	IdleTimeout time.Duration
}

// Stream runs a completion at the engine with the given address and calls onToken
// for every token in order. It returns nil only when the answer is complete.
func (c *Client) Stream(ctx context.Context, address string, request Request, onToken func(Token) error) error {
	body, err := engineBody(request)
	if err != nil {
		return err
	}
	path := "/v1/completions"
	if request.Chat {
		path = "/v1/chat/completions"
	}
	return c.openStream(ctx, http.MethodPost, "http://"+address+path, request.StreamID, body, len(request.PriorTexts), request.OnStart, onToken)
}

// Resume continues a stream after the token with the given number.
func (c *Client) Resume(ctx context.Context, address, streamID string, afterToken int, onToken func(Token) error) error {
	target := "http://" + address + "/v1/streams/" + url.PathEscape(streamID) + "?after=" + strconv.Itoa(afterToken)
	return c.openStream(ctx, http.MethodGet, target, streamID, nil, afterToken, nil, onToken)
}

// engineBody adds the members of the engine's extension to the caller's body.
func engineBody(request Request) ([]byte, error) {
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(request.Body, &members); err != nil {
		return nil, errors.Annotate(ErrRejected, "body is not a JSON object")
	}
	for name, value := range map[string]any{
		"stream": true, "priority": request.Priority, "prior_tokens": request.PriorTexts, "prompt_blocks": request.Blocks,
	} {
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, errors.Annotatef(err, "encode member %q", name)
		}
		members[name] = raw
	}
	return json.Marshal(members)
}

func (c *Client) openStream(ctx context.Context, method, target, streamID string, body []byte, afterToken int, onStart func(Load), onToken func(Token) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Annotate(err, "build engine request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-ID", streamID)
	idle, waitingSince := c.idleTimeout(), time.Now()
	idleTimer := time.AfterFunc(idle, cancel)
	defer idleTimer.Stop()
	res, err := c.httpClient().Do(req)
	if err != nil {
		// After a failed dial the request certainly did not run; after any other
		// error it may have.
		return errors.Annotatef(sendError(err), "%s: %v", target, err)
	}
	defer res.Body.Close()
	if err := statusError(res); err != nil {
		return err
	}
	if onStart != nil {
		onStart(headerLoad(res.Header))
	}
	return relayTokens(res.Body, afterToken, arrivalClock{idle: idle, since: waitingSince, timer: idleTimer}, cancel, onToken)
}

// headerLoad reads the engine's load from the response headers of a stream.
func headerLoad(h http.Header) Load {
	running, _ := strconv.Atoi(h.Get("X-Engine-Running")) // A missing header is 0.
	waiting, _ := strconv.Atoi(h.Get("X-Engine-Waiting"))
	return Load{Running: running, Waiting: waiting}
}

// sendError classifies an error of sending a request. A dial that timed out counts
// as ErrBroken.
func sendError(err error) error {
	var timeoutError interface{ Timeout() bool }
	if errors.As(err, &timeoutError) && timeoutError.Timeout() {
		return ErrBroken
	}
	if isDialError(err) {
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
	text, _ := io.ReadAll(io.LimitReader(res.Body, 512)) // The status suffices if the body can't be read.
	if res.StatusCode < http.StatusInternalServerError {
		return errors.Annotatef(ErrRejected, "status %d: %s", res.StatusCode, text)
	}
	return errors.Annotatef(ErrBroken, "status %d: %s", res.StatusCode, text)
}

// Cancel aborts a stream at the engine.
func (c *Client) Cancel(ctx context.Context, address, streamID string) error {
	return c.call(ctx, http.MethodPost, "http://"+address+"/v1/streams/"+url.PathEscape(streamID)+"/cancel", nil, nil)
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	err := c.call(ctx, http.MethodGet, "http://"+address+"/v1/load", nil, &l)
	return l, err
}

// CacheEvents returns the cache events after the given number.
func (c *Client) CacheEvents(ctx context.Context, address string, afterNumber int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.call(ctx, http.MethodGet, "http://"+address+"/v1/cache-events?after="+strconv.FormatInt(afterNumber, 10), nil, &events)
	return events, err
}

// Export returns the KV cache of a stream.
func (c *Client) Export(ctx context.Context, address, streamID string) ([]byte, error) {
	var cache json.RawMessage
	err := c.call(ctx, http.MethodGet, "http://"+address+"/v1/kv-cache/"+url.PathEscape(streamID), nil, &cache)
	return cache, err
}

// Import sends the KV cache of a stream to an engine, so that the next request for
// the stream needs no prefill.
func (c *Client) Import(ctx context.Context, address, streamID string, cache []byte) error {
	return c.call(ctx, http.MethodPut, "http://"+address+"/v1/kv-cache/"+url.PathEscape(streamID), cache, nil)
}

// Command sets the desired state of an engine.
func (c *Client) Command(ctx context.Context, address string, command Command) error {
	body, err := json.Marshal(command)
	if err != nil {
		return errors.Annotate(err, "encode command")
	}
	return c.call(ctx, http.MethodPost, "http://"+address+"/v1/commands", body, nil)
}

func (c *Client) call(ctx context.Context, method, target string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Annotate(err, "build engine call")
	}
	res, err := c.httpClient().Do(req)
	if err != nil {
		return errors.Annotatef(sendError(err), "%s: %v", target, err)
	}
	defer res.Body.Close()
	if err := statusError(res); err != nil || result == nil {
		return err
	}
	return errors.Annotate(json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(result), "decode engine answer")
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func (c *Client) idleTimeout() time.Duration {
	const defaultIdle = 30 * time.Second
	if c.IdleTimeout > 0 {
		return c.IdleTimeout
	}
	return defaultIdle
}
