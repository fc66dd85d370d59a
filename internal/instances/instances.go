// Package instances is the client of the platform's instance list, which contains
// the live and the leaving instances. The list is eventually consistent, so its
// users combine it with other signals.
package instances

import (
	"context"
	"net/http"
	"time"

	"apricotbridge/internal/jsoncall"
)

// State is the state of a listed instance. Instances that are still starting or
// that have ended are not listed.
type State string

// States of a listed instance.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// Instance is one virtual machine of the platform.
type Instance struct {
	ID      string `json:"ID"`
	Address string `json:"Address"`
	// Incarnation is the start number. It increases with each start at an address.
	Incarnation int64   `json:"Incarnation"`
	Place       string  `json:"Place"`
	Region      string  `json:"Region"`
	Class       string  `json:"Class"`
	Service     string  `json:"Service"`
	State       State   `json:"State"`
	Price       float64 `json:"Price"`
	Reclaimable bool    `json:"Reclaimable,omitempty"`
	// Since is when the instance entered its state.
	Since time.Time `json:"Since,omitzero"`
	// Deadline is when a leaving instance ends.
	Deadline time.Time `json:"Deadline,omitzero"`
}

// List is the instance list at one moment.
type List struct {
	Instances []Instance `json:"Instances"`
	// AsOf is the time of the state that the list shows, which may be out of date.
	AsOf time.Time `json:"AsOf"`
}

// ErrUnavailable reports that the instance list was not reached.
const ErrUnavailable = jsoncall.ErrUnavailable

// Client reads the instance list over HTTP.
type Client struct {
	// Address is the base URL.
	Address string
	// Timeout bounds each call.
	Timeout time.Duration
	// HTTP sends the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// List returns the instance list.
func (c *Client) List(ctx context.Context) (List, error) {
	client := jsoncall.Client{Address: c.Address, Timeout: c.Timeout, HTTP: c.HTTP}
	var l List
	err := client.DoJSON(ctx, jsoncall.Request{Method: http.MethodGet, Path: "/v1/instances"}, &l)
	return l, err
}
