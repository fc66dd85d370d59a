// Package jsoncall sends one JSON call over HTTP and tells failures that had no
// effect from those whose effect is unknown. The clients of the cloud API, the
// instance list and the weight store share it.
package jsoncall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"
)

// maxAnswerBytes bounds an answer. A list of 1,000 instances takes about 400 KB.
const maxAnswerBytes = 16 << 20

// Errors of a call that got no answer.
const (
	// ErrUnavailable reports that the call had no effect.
	ErrUnavailable = errors.ConstError("service unavailable")
	// ErrUnknown reports that the answer was lost, so that the call may have taken
	// effect.
	ErrUnknown = errors.ConstError("answer lost")
)

// Caller sends calls to one service.
type Caller struct {
	// Address is the base URL.
	Address string
	// Timeout bounds each call; 0 means no bound.
	Timeout time.Duration
	// HTTP sends the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// Call is one request.
type Call struct {
	Method, Path string
	Query        url.Values
	// Body is sent as JSON; nil sends none.
	Body any
	// Wait is how long the service may hold the call, on top of the timeout.
	Wait time.Duration
}

// Answer is what the service replied.
type Answer struct {
	Status int
	Body   []byte
}

// Decode reads the body into value.
func (a Answer) Decode(value any) error {
	return errors.Annotatef(json.Unmarshal(a.Body, value), "decode answer with status %d", a.Status)
}

// Do sends the call. Status 503 is ErrUnavailable; the caller judges all others.
func (c *Caller) Do(ctx context.Context, call Call) (Answer, error) {
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout+call.Wait)
		defer cancel()
	}
	var body io.Reader
	if call.Body != nil {
		data, err := json.Marshal(call.Body)
		if err != nil {
			return Answer{}, errors.Annotatef(err, "encode body of %s %s", call.Method, call.Path)
		}
		body = bytes.NewReader(data)
	}
	target := c.Address + call.Path
	if len(call.Query) > 0 {
		target += "?" + call.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, body)
	if err != nil {
		return Answer{}, errors.Annotatef(err, "build %s %s", call.Method, call.Path)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return Answer{}, errors.Annotatef(unanswered(call.Method, err), "%s %s: %v", call.Method, call.Path, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, errors.Annotatef(unanswered(call.Method, err), "%s %s: %v", call.Method, call.Path, err)
	}
	if res.StatusCode == http.StatusServiceUnavailable {
		return Answer{}, errors.Annotatef(ErrUnavailable, "%s %s", call.Method, call.Path)
	}
	return Answer{Status: res.StatusCode, Body: data}, nil
}

// Fetch sends the call and reads the body of an answer with status 200 into value.
func (c *Caller) Fetch(ctx context.Context, call Call, value any) error {
	a, err := c.Do(ctx, call)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return errors.Errorf("%s %s was answered with status %d", call.Method, call.Path, a.Status)
	}
	return a.Decode(value)
}

// unanswered tells a call without effect from one that may have taken effect.
func unanswered(method string, err error) error {
	if method == http.MethodGet {
		return ErrUnavailable
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUnknown
}
