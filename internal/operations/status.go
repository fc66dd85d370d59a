package operations

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
)

const (
	// registrationPrefix starts the keys of the daemons' registrations.
	registrationPrefix = "daemons/"
	// maxConcurrentCalls bounds the daemons that are called at a time, so that a
	// status of 380 daemons does not open a connection to each at once.
	maxConcurrentCalls = 32
	// maxStatusBytes bounds one status; 920 servers take about 150 KB.
	maxStatusBytes = 4 << 20
)

// OperatorClient calls the operator API of daemons.
type OperatorClient struct {
	// Token is the operators' bearer token; an empty one is not sent.
	Token string
	// Timeout bounds each call.
	Timeout time.Duration
}

// Lister lists registrations and reads the stored configuration.
type Lister interface {
	Get(ctx context.Context, key string) (keyvalue.Entry, error)
	List(ctx context.Context, prefix string) ([]keyvalue.Entry, int64, error)
}

// Status is the status that one daemon reports.
type Status struct {
	Daemon        string         `json:"Daemon"`
	Region        string         `json:"Region"`
	Place         string         `json:"Place"`
	CallerAddress string         `json:"CallerAddress"`
	Draining      bool           `json:"Draining"`
	Revision      int64          `json:"Revision"`
	Confirmed     string         `json:"Confirmed,omitempty"`
	Servers       []ServerStatus `json:"Servers"`
	// More holds unknown members as they were sent, so that the status of a newer
	// daemon is shown in full.
	More map[string]json.RawMessage `json:"-"`
}

// ServerStatus is a backend server in the view of one daemon.
type ServerStatus struct {
	Server      string `json:"Server"`
	Incarnation int64  `json:"Incarnation"`
	Service     string `json:"Service"`
	Place       string `json:"Place"`
	State       string `json:"State"`
	Suspect     bool   `json:"Suspect,omitempty"`
	InFlight    int    `json:"InFlight"`
}

// statusMembers is Status without its methods, to avoid recursion in its JSON
// methods.
type statusMembers Status

// knownMembers are the members of Status that are not kept in More.
var knownMembers = []string{"Daemon", "Region", "Place", "CallerAddress", "Draining", "Revision", "Confirmed", "Servers"}

// UnmarshalJSON stores unknown members in More.
func (s *Status) UnmarshalJSON(data []byte) error {
	var known statusMembers
	if err := json.Unmarshal(data, &known); err != nil {
		return err
	}
	if err := json.Unmarshal(data, &known.More); err != nil {
		return err
	}
	for _, name := range knownMembers {
		delete(known.More, name)
	}
	*s = Status(known)
	return nil
}

// MarshalJSON writes known and unknown members in one object, as the daemon sent
// them.
func (s Status) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(statusMembers(s))
	if err != nil {
		return nil, err
	}
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(known, &members); err != nil {
		return nil, err
	}
	for name, value := range s.More {
		members[name] = value
	}
	return json.Marshal(members)
}

// DaemonReport is the status of one daemon, or the error of the call.
type DaemonReport struct {
	OperatorAddress string  `json:"OperatorAddress"`
	Daemon          string  `json:"Daemon,omitempty"`
	Error           string  `json:"Error,omitempty"`
	Status          *Status `json:"Status,omitempty"`
}

// Overview is the state of a deployment, as shown by the command show.
type Overview struct {
	// StoredRevision is the revision in the key-value service; 0 when none is stored
	// or the service was not queried.
	StoredRevision int64          `json:"StoredRevision"`
	Daemons        []DaemonReport `json:"Daemons"`
}

// registration is the part of a daemon's registration that is used here.
type registration struct {
	Daemon          string `json:"Daemon"`
	OperatorAddress string `json:"OperatorAddress"`
}

// Discover returns the operator addresses of the registered daemons and the revision
// of the stored configuration.
func Discover(ctx context.Context, l Lister) (Overview, error) {
	var o Overview
	entries, _, err := l.List(ctx, registrationPrefix)
	if err != nil {
		return o, annotateStoreError(err, "list the daemons")
	}
	for _, e := range entries {
		var r registration
		if err := json.Unmarshal(e.Value, &r); err != nil || r.OperatorAddress == "" {
			o.Daemons = append(o.Daemons, DaemonReport{Daemon: e.Key, Error: "registration names no operator address"})
			continue
		}
		o.Daemons = append(o.Daemons, DaemonReport{Daemon: r.Daemon, OperatorAddress: r.OperatorAddress})
	}
	stored, err := l.Get(ctx, configurationKey)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return o, annotateStoreError(err, "read the stored revision")
	}
	o.StoredRevision = stored.Revision
	return o, nil
}

func annotateStoreError(err error, action string) error {
	if errors.Is(err, keyvalue.ErrUnavailable) {
		return errors.Annotatef(ErrUnavailable, "%s: %v", action, err)
	}
	return errors.Annotate(err, action)
}

// Show adds the status of each daemon, or its error, to the overview. It fails with
// ErrUnavailable when no daemon answered.
func Show(ctx context.Context, api *OperatorClient, o *Overview) error {
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for i := range o.Daemons {
		report := &o.Daemons[i]
		if report.OperatorAddress == "" {
			continue
		}
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			status, err := api.Status(ctx, report.OperatorAddress)
			if err != nil {
				report.Error = err.Error()
				return
			}
			report.Status, report.Daemon = status, status.Daemon
		}()
	}
	wait.Wait()
	sort.SliceStable(o.Daemons, func(i, j int) bool { return o.Daemons[i].Daemon < o.Daemons[j].Daemon })
	for _, r := range o.Daemons {
		if r.Status != nil {
			return nil
		}
	}
	return errors.Annotatef(ErrUnavailable, "none of %d daemons answered", len(o.Daemons))
}

// Status requests the status of the daemon at an operator address.
func (o *OperatorClient) Status(ctx context.Context, address string) (*Status, error) {
	return o.call(ctx, http.MethodGet, address, "/status")
}

// Drain starts a drain of the daemon at an operator address. within bounds its
// duration; 0 uses the limit in the daemon's settings.
func (o *OperatorClient) Drain(ctx context.Context, address string, within time.Duration) (*Status, error) {
	path := "/drain"
	if within > 0 {
		path += "?" + url.Values{"within": {within.String()}}.Encode()
	}
	return o.call(ctx, http.MethodPost, address, path)
}

func (o *OperatorClient) call(ctx context.Context, method, address, path string) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Annotatef(err, "operator address %q", address)
	}
	if o.Token != "" {
		req.Header.Set("Authorization", "Bearer "+o.Token)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Annotatef(ErrUnavailable, "daemon at %s: %v", address, err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusUnauthorized:
		return nil, errors.Errorf("daemon at %s does not accept the operator token", address)
	default:
		return nil, errors.Errorf("daemon at %s answered status %d", address, res.StatusCode)
	}
	var s Status
	if err := json.NewDecoder(io.LimitReader(res.Body, maxStatusBytes)).Decode(&s); err != nil {
		return nil, errors.Annotatef(err, "daemon at %s: decode status", address)
	}
	return &s, nil
}
