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
	// registrationPrefix starts the keys under which daemons register.
	registrationPrefix = "daemons/"
	// maxAsked bounds the daemons that are asked at a time, so that asking 380
	// daemons opens no more connections than needed.
	maxAsked = 32
	// maxStatusBytes bounds one status; 920 servers take about 150 KB.
	maxStatusBytes = 4 << 20
)

// Operators calls the operator API of daemons.
type Operators struct {
	// Token is the operators' bearer token; empty sends none.
	Token string
	// Timeout bounds each call.
	Timeout time.Duration
}

// Lister lists registrations and reads the stored configuration.
type Lister interface {
	Get(ctx context.Context, key string) (keyvalue.Entry, error)
	List(ctx context.Context, prefix string) ([]keyvalue.Entry, int64, error)
}

// Status is what one daemon tells of itself.
type Status struct {
	Daemon        string         `json:"Daemon"`
	Region        string         `json:"Region"`
	Place         string         `json:"Place"`
	CallerAddress string         `json:"CallerAddress"`
	Draining      bool           `json:"Draining"`
	Revision      int64          `json:"Revision"`
	Confirmed     string         `json:"Confirmed,omitempty"`
	Servers       []ServerStatus `json:"Servers"`
	// More holds the other members as they were sent, so that the status of a
	// newer daemon is shown whole.
	More map[string]json.RawMessage `json:"-"`
}

// ServerStatus is a backend server as one daemon knows it.
type ServerStatus struct {
	Server      string `json:"Server"`
	Incarnation int64  `json:"Incarnation"`
	Service     string `json:"Service"`
	Place       string `json:"Place"`
	State       string `json:"State"`
	Suspect     bool   `json:"Suspect,omitempty"`
	InFlight    int    `json:"InFlight"`
}

// statusMembers has the members of Status without its methods.
type statusMembers Status

// ownMembers are the members of Status that are not in More.
var ownMembers = []string{"Daemon", "Region", "Place", "CallerAddress", "Draining", "Revision", "Confirmed", "Servers"}

// UnmarshalJSON keeps the members that Status does not have in More.
func (s *Status) UnmarshalJSON(data []byte) error {
	var own statusMembers
	if err := json.Unmarshal(data, &own); err != nil {
		return err
	}
	if err := json.Unmarshal(data, &own.More); err != nil {
		return err
	}
	for _, name := range ownMembers {
		delete(own.More, name)
	}
	*s = Status(own)
	return nil
}

// MarshalJSON writes all members on one level, as the daemon sent them.
func (s Status) MarshalJSON() ([]byte, error) {
	own, err := json.Marshal(statusMembers(s))
	if err != nil {
		return nil, err
	}
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(own, &members); err != nil {
		return nil, err
	}
	for name, value := range s.More {
		members[name] = value
	}
	return json.Marshal(members)
}

// DaemonReport is the answer of one daemon, or why there is none.
type DaemonReport struct {
	OperatorAddress string  `json:"OperatorAddress"`
	Daemon          string  `json:"Daemon,omitempty"`
	Error           string  `json:"Error,omitempty"`
	Status          *Status `json:"Status,omitempty"`
}

// Overview is what show tells of a deployment.
type Overview struct {
	// StoredRevision is that of the key-value service; 0 when none is stored or
	// the service was not asked.
	StoredRevision int64          `json:"StoredRevision"`
	Daemons        []DaemonReport `json:"Daemons"`
}

// registration is the part of a daemon's registration that is read here.
type registration struct {
	Daemon          string `json:"Daemon"`
	OperatorAddress string `json:"OperatorAddress"`
}

// Discover returns the operator addresses of the registered daemons and the
// revision of the stored configuration.
func Discover(ctx context.Context, l Lister) (Overview, error) {
	var o Overview
	entries, _, err := l.List(ctx, registrationPrefix)
	if err != nil {
		return o, unreachable(err, "list the daemons")
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
		return o, unreachable(err, "read the stored revision")
	}
	o.StoredRevision = stored.Revision
	return o, nil
}

func unreachable(err error, what string) error {
	if errors.Is(err, keyvalue.ErrUnavailable) {
		return errors.Annotatef(ErrUnavailable, "%s: %v", what, err)
	}
	return errors.Annotate(err, what)
}

// Show asks each daemon of the overview for its status. It fails with
// ErrUnavailable when no daemon answered; what each said is in the overview in
// any case.
func Show(ctx context.Context, api *Operators, o *Overview) error {
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxAsked)
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

// Status asks the daemon at an operator address for its status.
func (o *Operators) Status(ctx context.Context, address string) (*Status, error) {
	return o.call(ctx, http.MethodGet, address, "/status")
}

// Drain tells the daemon at an operator address to leave within a time; 0 leaves
// the time to its settings.
func (o *Operators) Drain(ctx context.Context, address string, within time.Duration) (*Status, error) {
	path := "/drain"
	if within > 0 {
		path += "?" + url.Values{"within": {within.String()}}.Encode()
	}
	return o.call(ctx, http.MethodPost, address, path)
}

func (o *Operators) call(ctx context.Context, method, address, path string) (*Status, error) {
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
