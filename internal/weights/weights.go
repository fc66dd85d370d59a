// Package weights is the client of the platform's weight store, which holds model
// weights and limits the rate at which they are fetched. A fetch needs a permit.
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
	// ErrUnknown reports that the answer was lost. The request is repeated with the
	// same instance and weights, which returns the permit that was granted.
	ErrUnknown = jsoncall.ErrUnknown
	// ErrNotFound reports weights that the store does not hold.
	ErrNotFound = errors.ConstError("weights not found")
)

// LimitedError reports that the store's rate is in use. Nothing was granted.
type LimitedError struct {
	RetryAfter config.Duration `json:"RetryAfter"`
}

// Error says when to try again.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("weight store's rate is in use for %s", e.RetryAfter)
}

// Request asks for a permit for one instance to fetch one set of weights.
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

// Status is the store's rate and the permits in use.
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

func (c *Client) caller() *jsoncall.Caller {
	return &jsoncall.Caller{Address: c.Address, Timeout: c.Timeout, HTTP: c.HTTP}
}

// Acquire returns a permit, or the one that the same request already holds. When
// the rate is in use it returns a *LimitedError.
func (c *Client) Acquire(ctx context.Context, r Request) (Permit, error) {
	a, err := c.caller().Do(ctx, jsoncall.Call{Method: http.MethodPost, Path: "/v1/permits", Body: r})
	if err != nil {
		return Permit{}, err
	}
	switch a.Status {
	case http.StatusOK:
		var p Permit
		err := a.Decode(&p)
		return p, err
	case http.StatusNotFound:
		return Permit{}, errors.Annotatef(ErrNotFound, "model %q, adapter %q, version %q", r.Model, r.Adapter, r.Version)
	case http.StatusTooManyRequests:
		var limited LimitedError
		if err := a.Decode(&limited); err != nil {
			return Permit{}, err
		}
		return Permit{}, &limited
	default:
		return Permit{}, errors.Errorf("weight store answered a request for a permit with status %d", a.Status)
	}
}

// Release gives a permit back after the fetch. Releasing one that has expired
// succeeds.
func (c *Client) Release(ctx context.Context, id string) error {
	a, err := c.caller().Do(ctx, jsoncall.Call{Method: http.MethodDelete, Path: "/v1/permits/" + url.PathEscape(id)})
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK && a.Status != http.StatusNotFound {
		return errors.Errorf("weight store answered a release with status %d", a.Status)
	}
	return nil
}

// Status returns the store's rate and the permits in use.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.caller().Fetch(ctx, jsoncall.Call{Method: http.MethodGet, Path: "/v1/status"}, &s)
	return s, err
}
