// Package jsoncall sends JSON requests over HTTP. Its errors distinguish calls
// without effect from calls whose outcome is unknown. The clients of the cloud API,
// the instance list and the weight store share it.
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

// maxResponseBytes bounds a response. A list of 1,000 instances takes about 400 KB.
const maxResponseBytes = 16 << 20

// Errors of a call without a response.
const (
	// ErrUnavailable reports that the call had no effect.
	ErrUnavailable = errors.ConstError("service unavailable")
	// ErrOutcomeUnknown reports that the answer was lost, so that the call may have taken
	// effect.
	ErrOutcomeUnknown = errors.ConstError("answer lost")
)

// Client sends requests to one service.
type Client struct {
	// Address is the base URL.
	Address string
	// Timeout bounds each call; 0 means no bound.
	Timeout time.Duration
	// HTTP sends the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// Request is one HTTP request.
type Request struct {
	Method, Path string
	Query        url.Values
	// Body is sent as JSON; nil sends none.
	Body any
	// HoldTime is how long the service may hold the request, for a long poll. It is
	// added to Client.Timeout.
	HoldTime time.Duration
}

// Response is an HTTP response.
type Response struct {
	Status int
	Body   []byte
}

// Decode decodes the body into value.
func (r Response) Decode(value any) error {
	return errors.Annotatef(json.Unmarshal(r.Body, value), "decode answer with status %d", r.Status)
}

// Do sends the request. Status 503 is returned as ErrUnavailable, any other status
// in the Response.
func (c *Client) Do(ctx context.Context, request Request) (Response, error) {
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout+request.HoldTime)
		defer cancel()
	}
	var body io.Reader
	if request.Body != nil {
		data, err := json.Marshal(request.Body)
		if err != nil {
			return Response{}, errors.Annotatef(err, "encode body of %s %s", request.Method, request.Path)
		}
		body = bytes.NewReader(data)
	}
	target := c.Address + request.Path
	if len(request.Query) > 0 {
		target += "?" + request.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, request.Method, target, body)
	if err != nil {
		return Response{}, errors.Annotatef(err, "build %s %s", request.Method, request.Path)
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
		return Response{}, errors.Annotatef(transportError(request.Method, err), "%s %s: %v", request.Method, request.Path, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return Response{}, errors.Annotatef(transportError(request.Method, err), "%s %s: %v", request.Method, request.Path, err)
	}
	if res.StatusCode == http.StatusServiceUnavailable {
		return Response{}, errors.Annotatef(ErrUnavailable, "%s %s", request.Method, request.Path)
	}
	return Response{Status: res.StatusCode, Body: data}, nil
}

// DoJSON sends the request and decodes the body of the response into value. Any
// status but 200 is an error.
func (c *Client) DoJSON(ctx context.Context, request Request, value any) error {
	response, err := c.Do(ctx, request)
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return errors.Errorf("%s %s was answered with status %d", request.Method, request.Path, response.Status)
	}
	return response.Decode(value)
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
