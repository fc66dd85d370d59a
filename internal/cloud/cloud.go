// Package cloud is the client of the platform's cloud API, which starts and stops
// reclaimable and on-demand instances and announces reclaims. A refused start and a
// lost answer have error types of their own.
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

// noticeWait is how long the API holds a long poll for notices.
const noticeWait = 20 * time.Second

// Errors of a Client.
const (
	// ErrUnavailable reports that the call had no effect.
	ErrUnavailable = jsoncall.ErrUnavailable
	// ErrOutcomeUnknown reports that the answer was lost, so that the call may have taken
	// effect. A start can be repeated with its token, a stop without more.
	ErrOutcomeUnknown = jsoncall.ErrOutcomeUnknown
	// ErrTokenReused reports that the token was used for a start with other fields.
	ErrTokenReused = errors.ConstError("token belongs to another start")
)

// RefusedError reports that the platform has no capacity for a start. No instance
// was started, and the token can be used again.
type RefusedError struct {
	Place       string          `json:"Place"`
	Class       string          `json:"Class"`
	Reclaimable bool            `json:"Reclaimable,omitempty"`
	Reason      string          `json:"Reason"`
	RetryAfter  config.Duration `json:"RetryAfter"`
}

// Error returns a message with the class, the place and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("start of class %q in place %q refused: %s", e.Class, e.Place, e.Reason)
}

// State is the state of an instance at the cloud API.
type State string

// States of an instance. Ended instances are not listed.
const (
	Starting State = "Starting"
	Running  State = "Running"
	Leaving  State = "Leaving"
)

// Price holds the current prices of a class in a place, per instance and hour.
type Price struct {
	Place       string  `json:"Place"`
	Class       string  `json:"Class"`
	Reclaimable float64 `json:"Reclaimable"`
	OnDemand    float64 `json:"OnDemand"`
}

// StartRequest requests one instance. A repeated start with the same Token returns the
// instance that the token has already started.
type StartRequest struct {
	Token       string `json:"Token"`
	Place       string `json:"Place"`
	Class       string `json:"Class"`
	Service     string `json:"Service"`
	Reclaimable bool   `json:"Reclaimable,omitempty"`
}

// Instance is one started virtual machine.
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
	// Price is the price of this instance per hour.
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
	// Timeout bounds each call. The time for which the API holds a long poll is added
	// to it.
	Timeout time.Duration
	// HTTP sends the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

func (c *Client) jsonClient() *jsoncall.Client {
	return &jsoncall.Client{Address: c.Address, Timeout: c.Timeout, HTTP: c.HTTP}
}

// Prices returns the current prices.
func (c *Client) Prices(ctx context.Context) ([]Price, error) {
	var answer struct {
		Prices []Price `json:"Prices"`
	}
	err := c.jsonClient().DoJSON(ctx, jsoncall.Request{Method: http.MethodGet, Path: "/v1/prices"}, &answer)
	return answer.Prices, err
}

// List returns the instances that were started and have not ended.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	var answer struct {
		Instances []Instance `json:"Instances"`
	}
	err := c.jsonClient().DoJSON(ctx, jsoncall.Request{Method: http.MethodGet, Path: "/v1/instances"}, &answer)
	return answer.Instances, err
}

// Start starts an instance, or returns the one that the token has already started.
// It returns a *RefusedError when the platform has no capacity.
func (c *Client) Start(ctx context.Context, start StartRequest) (Instance, error) {
	response, err := c.jsonClient().Do(ctx, jsoncall.Request{Method: http.MethodPost, Path: "/v1/instances", Body: start})
	if err != nil {
		return Instance{}, err
	}
	switch response.Status {
	case http.StatusOK:
		var i Instance
		err := response.Decode(&i)
		return i, err
	case http.StatusTooManyRequests:
		var refused RefusedError
		if err := response.Decode(&refused); err != nil {
			return Instance{}, err
		}
		return Instance{}, &refused
	case http.StatusConflict:
		return Instance{}, ErrTokenReused
	default:
		return Instance{}, errors.Errorf("cloud API answered a start with status %d", response.Status)
	}
}

// Stop ends an instance. It succeeds for an instance that has already ended.
func (c *Client) Stop(ctx context.Context, id string) error {
	response, err := c.jsonClient().Do(ctx, jsoncall.Request{Method: http.MethodDelete, Path: "/v1/instances/" + url.PathEscape(id)})
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK && response.Status != http.StatusNotFound {
		return errors.Errorf("cloud API answered a stop with status %d", response.Status)
	}
	return nil
}

// Notices waits for notices after the given sequence number and returns them with
// the number for the next call. It returns no notices after noticeWait without one.
func (c *Client) Notices(ctx context.Context, after int64) ([]Notice, int64, error) {
	answer := struct {
		Notices  []Notice `json:"Notices"`
		Sequence int64    `json:"Sequence"`
	}{Sequence: after}
	query := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait": {noticeWait.String()}}
	err := c.jsonClient().DoJSON(ctx, jsoncall.Request{Method: http.MethodGet, Path: "/v1/notices", Query: query, HoldTime: noticeWait}, &answer)
	return answer.Notices, answer.Sequence, err
}
