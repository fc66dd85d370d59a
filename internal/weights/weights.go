// Package weights is the client of the platform's weight store, which holds model
// weights and limits the rate at which engines fetch them by permits.
package weights

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/jsoncall"
	"apricotbridge/pkg/config"
)

// Errors of a Client.
const (
	// ErrUnavailable reports that the call had no effect.
	ErrUnavailable = jsoncall.ErrUnavailable
	// ErrOutcomeUnknown reports that the answer was lost. A repeated Acquire with the same
	// Request returns the permit that may have been granted.
	ErrOutcomeUnknown = jsoncall.ErrOutcomeUnknown
	// ErrNotFound reports that the store does not have the weights.
	ErrNotFound = errors.ConstError("weights not found")
)

// LimitedError reports that the store is at its rate limit. No permit was granted.
type LimitedError struct {
	RetryAfter config.Duration `json:"RetryAfter"`
}

// Error returns a message with the time after which to retry.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("weight store is at its rate limit; retry after %s", e.RetryAfter)
}

// Request identifies the instance and the weights that it fetches.
type Request struct {
	Instance string `json:"Instance"`
	Model    string `json:"Model"`
	Adapter  string `json:"Adapter,omitempty"`
	Version  string `json:"Version,omitempty"`
}

// Permit allows one fetch until it expires.
type Permit struct {
	ID             string    `json:"ID"`
	Request        Request   `json:"Request"`
	Bytes          int64     `json:"Bytes"`
	BytesPerSecond float64   `json:"BytesPerSecond"`
	Expires        time.Time `json:"Expires"`
}

// Status holds the store's total rate and the permits in use.
type Status struct {
	BytesPerSecond float64  `json:"BytesPerSecond"`
	Permits        []Permit `json:"Permits"`
}

// Client calls the weight store over HTTP.
type Client struct {
	// Address is the base URL.
	Address string
	// Timeout bounds each call.
	Timeout time.Duration
	// HTTP sends the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

func (c *Client) jsonClient() *jsoncall.Client {
	return &jsoncall.Client{Address: c.Address, Timeout: c.Timeout, HTTP: c.HTTP}
}

// Acquire returns a permit. A repeated request returns the permit that it already
// holds. At the rate limit it returns a *LimitedError.
func (c *Client) Acquire(ctx context.Context, request Request) (Permit, error) {
	response, err := c.jsonClient().Do(ctx, jsoncall.Request{Method: http.MethodPost, Path: "/v1/permits", Body: request})
	if err != nil {
		return Permit{}, err
	}
	switch response.Status {
	case http.StatusOK:
		var p Permit
		err := response.Decode(&p)
		return p, err
	case http.StatusNotFound:
		return Permit{}, errors.Annotatef(ErrNotFound, "model %q, adapter %q, version %q", request.Model, request.Adapter, request.Version)
	case http.StatusTooManyRequests:
		var limited LimitedError
		if err := response.Decode(&limited); err != nil {
			return Permit{}, err
		}
		return Permit{}, &limited
	default:
		return Permit{}, errors.Errorf("weight store answered a permit request with status %d", response.Status)
	}
}

// Release returns a permit after the fetch. It succeeds for an expired permit.
func (c *Client) Release(ctx context.Context, id string) error {
	response, err := c.jsonClient().Do(ctx, jsoncall.Request{Method: http.MethodDelete, Path: "/v1/permits/" + url.PathEscape(id)})
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK && response.Status != http.StatusNotFound {
		return errors.Errorf("weight store answered a release with status %d", response.Status)
	}
	return nil
}

// Status returns the store's total rate and the permits in use.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.jsonClient().DoJSON(ctx, jsoncall.Request{Method: http.MethodGet, Path: "/v1/status"}, &s)
	return s, err
}
