// Package cloud is the client of the platform's cloud API, which offers
// reclaimable and on-demand instances and announces reclaims. Starts may be
// refused and answers may be lost; both are typed errors.
package cloud

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/jsoncall"
	"apricotbridge/pkg/config"
)

// noticeWait is how long the API holds a call for notices when there is none.
const noticeWait = 20 * time.Second

// Errors of a Client.
const (
	// ErrUnavailable reports that the call had no effect.
	ErrUnavailable = jsoncall.ErrUnavailable
	// ErrUnknown reports that the answer was lost. A start is repeated with the
	// same token; a stop is repeated as it is.
	ErrUnknown = jsoncall.ErrUnknown
	// ErrTokenReused reports that the token belongs to a start with other fields.
	ErrTokenReused = errors.ConstError("token belongs to another start")
)

// RefusedError reports that the platform has no capacity for a start. Nothing was
// started, and the token can be used again.
type RefusedError struct {
	Place       string          `json:"Place"`
	Class       string          `json:"Class"`
	Reclaimable bool            `json:"Reclaimable,omitempty"`
	Reason      string          `json:"Reason"`
	RetryAfter  config.Duration `json:"RetryAfter"`
}

// Error names the place and the class.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("start of class %q in place %q refused: %s", e.Class, e.Place, e.Reason)
}

// State is the state of an instance at the cloud API.
type State string

// States of an instance. One that has ended is not listed.
const (
	Starting State = "Starting"
	Running  State = "Running"
	Leaving  State = "Leaving"
)

// Price is the present price of a class in a place, per instance hour.
type Price struct {
	Place       string  `json:"Place"`
	Class       string  `json:"Class"`
	Reclaimable float64 `json:"Reclaimable"`
	OnDemand    float64 `json:"OnDemand"`
}

// Start asks for one instance. Token makes it idempotent: a repeated start
// returns the instance of the first one.
type Start struct {
	Token       string `json:"Token"`
	Place       string `json:"Place"`
	Class       string `json:"Class"`
	Service     string `json:"Service"`
	Reclaimable bool   `json:"Reclaimable,omitempty"`
}

// Instance is one machine that was started.
type Instance struct {
	ID          string    `json:"ID"`
	Token       string    `json:"Token"`
	Address     string    `json:"Address,omitempty"`
	Place       string    `json:"Place"`
	Class       string    `json:"Class"`
	Service     string    `json:"Service"`
	Reclaimable bool      `json:"Reclaimable,omitempty"`
	State       State     `json:"State"`
	Since       time.Time `json:"Since"`
	Deadline    time.Time `json:"Deadline,omitzero"`
	// Price is the price per hour at which the instance runs.
	Price float64 `json:"Price"`
}

// Notice announces that an instance is reclaimed at Deadline.
type Notice struct {
	Sequence int64     `json:"Sequence"`
	Instance string    `json:"Instance"`
	Place    string    `json:"Place"`
	Class    string    `json:"Class"`
	At       time.Time `json:"At"`
	Deadline time.Time `json:"Deadline"`
}

// Client calls the cloud API over HTTP.
type Client struct {
	// Address is the base URL.
	Address string
	// Timeout bounds each call, on top of the wait for notices.
	Timeout time.Duration
	// HTTP sends the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

func (c *Client) caller() *jsoncall.Caller {
	return &jsoncall.Caller{Address: c.Address, Timeout: c.Timeout, HTTP: c.HTTP}
}

// Prices returns the present prices.
func (c *Client) Prices(ctx context.Context) ([]Price, error) {
	var answer struct {
		Prices []Price `json:"Prices"`
	}
	err := c.caller().Fetch(ctx, jsoncall.Call{Method: http.MethodGet, Path: "/v1/prices"}, &answer)
	return answer.Prices, err
}

// List returns the instances that were started and have not ended.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	var answer struct {
		Instances []Instance `json:"Instances"`
	}
	err := c.caller().Fetch(ctx, jsoncall.Call{Method: http.MethodGet, Path: "/v1/instances"}, &answer)
	return answer.Instances, err
}

// Start starts an instance or returns the one that the token already started. A
// refusal is a *RefusedError.
func (c *Client) Start(ctx context.Context, s Start) (Instance, error) {
	a, err := c.caller().Do(ctx, jsoncall.Call{Method: http.MethodPost, Path: "/v1/instances", Body: s})
	if err != nil {
		return Instance{}, err
	}
	switch a.Status {
	case http.StatusOK:
		var i Instance
		err := a.Decode(&i)
		return i, err
	case http.StatusTooManyRequests:
		var refused RefusedError
		if err := a.Decode(&refused); err != nil {
			return Instance{}, err
		}
		return Instance{}, &refused
	case http.StatusConflict:
		return Instance{}, ErrTokenReused
	default:
		return Instance{}, errors.Errorf("cloud API answered a start with status %d", a.Status)
	}
}

// Stop ends an instance. Stopping one that has ended succeeds.
func (c *Client) Stop(ctx context.Context, id string) error {
	a, err := c.caller().Do(ctx, jsoncall.Call{Method: http.MethodDelete, Path: "/v1/instances/" + url.PathEscape(id)})
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK && a.Status != http.StatusNotFound {
		return errors.Errorf("cloud API answered a stop with status %d", a.Status)
	}
	return nil
}

// Notices waits for notices after the given sequence number and returns them with
// the number to go on from. It returns none when there was none for a while.
func (c *Client) Notices(ctx context.Context, after int64) ([]Notice, int64, error) {
	answer := struct {
		Notices  []Notice `json:"Notices"`
		Sequence int64    `json:"Sequence"`
	}{Sequence: after}
	query := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait": {noticeWait.String()}}
	err := c.caller().Fetch(ctx, jsoncall.Call{Method: http.MethodGet, Path: "/v1/notices", Query: query, Wait: noticeWait}, &answer)
	return answer.Notices, answer.Sequence, err
}
