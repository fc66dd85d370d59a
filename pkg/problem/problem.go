// Package problem defines the closed list of error kinds and the table that
// maps each kind to an HTTP response. Responses are problem details as in RFC
// 9457, with extension members in Pascal case.
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Kind identifies an error that callers and daemons handle.
type Kind string

// The closed list of error kinds.
const (
	BadRequest          Kind = "BadRequest"
	UnknownModel        Kind = "UnknownModel"
	UnknownService      Kind = "UnknownService"
	NotFound            Kind = "NotFound"
	MethodNotAllowed    Kind = "MethodNotAllowed"
	BodyTooLarge        Kind = "BodyTooLarge"
	HeadersTooLarge     Kind = "HeadersTooLarge"
	KeyTooLong          Kind = "KeyTooLong"
	Unauthorized        Kind = "Unauthorized"
	Forbidden           Kind = "Forbidden"
	KeyReused           Kind = "KeyReused"
	Overloaded          Kind = "Overloaded"
	DeadlineUnreachable Kind = "DeadlineUnreachable"
	Draining            Kind = "Draining"
	LedgerUnavailable   Kind = "LedgerUnavailable"
	NoCapacity          Kind = "NoCapacity"
	Poisonous           Kind = "Poisonous"
	Quarantined         Kind = "Quarantined"
	OutcomeUnknown      Kind = "OutcomeUnknown"
	BackendFailed       Kind = "BackendFailed"
	Internal            Kind = "Internal"
)

// Ran reports whether a request ran at a backend server.
type Ran string

// The values of Ran.
const (
	NotRun  Ran = "NotRun"
	HasRun  Ran = "Ran"
	Unknown Ran = "Unknown"
)

// Row describes one kind of error.
type Row struct {
	Kind   Kind
	Status int
	Title  string
	// Ran reports whether a request with this error ran.
	Ran Ran
	// ComeBack reports whether the same request may be sent again later.
	ComeBack bool
}

// Table has one row for each kind.
var Table = []Row{
	{BadRequest, http.StatusBadRequest, "Malformed request", NotRun, false},
	{UnknownModel, http.StatusNotFound, "Unknown model", NotRun, false},
	{UnknownService, http.StatusNotFound, "Unknown service", NotRun, false},
	{NotFound, http.StatusNotFound, "Not found", NotRun, false},
	{MethodNotAllowed, http.StatusMethodNotAllowed, "Method not allowed", NotRun, false},
	{BodyTooLarge, http.StatusRequestEntityTooLarge, "Body too large", NotRun, false},
	{HeadersTooLarge, http.StatusRequestHeaderFieldsTooLarge, "Headers too large", NotRun, false},
	{KeyTooLong, http.StatusBadRequest, "Idempotency key too long", NotRun, false},
	{Unauthorized, http.StatusUnauthorized, "Unknown credential", NotRun, false},
	{Forbidden, http.StatusForbidden, "Not allowed to this organisation", NotRun, false},
	{KeyReused, http.StatusUnprocessableEntity, "Idempotency key used with another request", NotRun, false},
	{Overloaded, http.StatusTooManyRequests, "Too much work waiting", NotRun, true},
	{DeadlineUnreachable, http.StatusServiceUnavailable, "Deadline cannot be met", NotRun, true},
	{Draining, http.StatusServiceUnavailable, "Entry is leaving", NotRun, true},
	{LedgerUnavailable, http.StatusServiceUnavailable, "Order cannot be recorded", NotRun, true},
	{NoCapacity, http.StatusServiceUnavailable, "No backend server", NotRun, true},
	{Poisonous, http.StatusUnprocessableEntity, "Request crashes backend servers", HasRun, false},
	{Quarantined, http.StatusServiceUnavailable, "Request is suspected of crashing backend servers", NotRun, true},
	{OutcomeUnknown, http.StatusGatewayTimeout, "Outcome unknown, not repeated", Unknown, false},
	{BackendFailed, http.StatusBadGateway, "Backend server failed", HasRun, false},
	{Internal, http.StatusInternalServerError, "Internal error", Unknown, false},
}

var rowByKind = func() map[Kind]Row {
	m := make(map[Kind]Row, len(Table))
	for _, row := range Table {
		m[row.Kind] = row
	}
	return m
}()

// ImpliesNotRun reports whether callers take a response with this status to mean that their
// request has not run, so that they may send it again.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Of returns the row of a kind. A kind that is not in the list is treated as
// Internal.
func Of(kind Kind) Row {
	if row, ok := rowByKind[kind]; ok {
		return row
	}
	return rowByKind[Internal]
}

// Problem is an error response.
type Problem struct {
	Kind   Kind
	Detail string
	// RetryAfter is the minimum wait before a retry. Zero allows an immediate one
	// if the kind allows a retry at all.
	RetryAfter time.Duration
	// RequestID identifies the request in logs.
	RequestID string
	// Entries are addresses of entries to use instead.
	Entries []string
}

// New returns a problem of the given kind.
func New(kind Kind, format string, args ...any) *Problem {
	return &Problem{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the kind and the detail.
func (p *Problem) Error() string { return string(p.Kind) + ": " + p.Detail }

// body is the JSON form. Members not in Pascal case are defined by RFC 9457.
type body struct {
	Type       string   `json:"type"`
	Title      string   `json:"title"`
	Status     int      `json:"status"`
	Detail     string   `json:"detail,omitempty"`
	Kind       Kind     `json:"Kind"`
	Ran        Ran      `json:"Ran"`
	ComeBack   bool     `json:"ComeBack"`
	RetryAfter float64  `json:"RetryAfterSeconds,omitempty"`
	RequestID  string   `json:"RequestID,omitempty"`
	Entries    []string `json:"Entries,omitempty"`
}

// MarshalJSON encodes the problem as problem details.
func (p *Problem) MarshalJSON() ([]byte, error) {
	row := Of(p.Kind)
	return json.Marshal(body{
		Type: "urn:apricotbridge:problem:" + string(row.Kind), Title: row.Title, Status: row.Status,
		Detail: p.Detail, Kind: row.Kind, Ran: row.Ran, ComeBack: row.ComeBack,
		RetryAfter: p.RetryAfter.Seconds(), RequestID: p.RequestID, Entries: p.Entries,
	})
}

// UnmarshalJSON decodes problem details.
func (p *Problem) UnmarshalJSON(data []byte) error {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return err
	}
	*p = Problem{
		Kind: b.Kind, Detail: b.Detail, RetryAfter: time.Duration(b.RetryAfter * float64(time.Second)),
		RequestID: b.RequestID, Entries: b.Entries,
	}
	return nil
}

// Write sends the problem as the response to a request.
func (p *Problem) Write(w http.ResponseWriter) {
	row := Of(p.Kind)
	data, err := json.Marshal(p)
	if err != nil { // Strings and numbers always encode.
		data = []byte("{}")
	}
	w.Header().Set("Content-Type", "application/problem+json")
	if row.ComeBack {
		// Retry-After has whole seconds (RFC 9110); the body has the exact duration.
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(row.Status)
	_, _ = w.Write(data) // An error means that the caller has disconnected.
}
