package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"apricotbridge/internal/ledger"
	"apricotbridge/internal/registrar"
	"apricotbridge/internal/service"
	"apricotbridge/pkg/problem"
)

// orders holds the calls of orders between their submission and their dispatch.
// The ledger keeps only what tells two requests with one key apart; the headers
// stay here, because a successor never dispatches an order.
type orders struct {
	mu    sync.Mutex
	calls map[string]plainCall
}

func (o *orders) put(q plainCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls = map[string]plainCall{}
	}
	o.calls[q.id] = q
}

func (o *orders) get(id string) (plainCall, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, ok := o.calls[id]
	return q, ok
}

func (o *orders) drop(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, id)
}

// storedOrder is what the ledger compares when a key is sent again. Headers such
// as User-Agent differ between the libraries that one organisation uses.
type storedOrder struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// serveOrder runs a keyed call that must not be repeated through the ledger.
func (d *Daemon) serveOrder(w http.ResponseWriter, r *http.Request, c *caller, q plainCall) *problem.Problem {
	reg := d.registrar.Load()
	if reg == nil {
		return ledgerStarting()
	}
	shard := ledger.ShardOf(q.organisation, q.key, reg.Shards)
	if owner, p := d.ownerOf(r.Context(), reg, shard); p != nil {
		return p
	} else if owner != d.Settings.Daemon {
		return d.forward(w, r, c, owner, q.call.Body, func() { reg.Forget(shard) })
	}
	request, err := cbor.Marshal(storedOrder{
		Method: q.call.Method, Path: q.call.Path, ContentType: q.call.Header.Get("Content-Type"), Body: q.call.Body,
	})
	if err != nil {
		return problem.New(problem.Internal, "encode order: %v", err)
	}
	d.orders.put(q)
	result, err := reg.Submit(r.Context(), registrar.Submission{
		Organisation: q.organisation, Key: q.key, Kind: ledger.Order, Service: q.service.Name,
		RequestID: q.id, Request: request, Lookup: q.service.LookupPath != "",
	})
	d.orders.drop(q.id)
	if err != nil {
		return asProblem(err)
	}
	return writeStored(w, result.Response)
}

func ledgerStarting() *problem.Problem {
	p := problem.New(problem.LedgerUnavailable, "the ledger has not started")
	p.RetryAfter = time.Second
	return p
}

// asProblem returns the problem within an error.
func asProblem(err error) *problem.Problem {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return problem.New(problem.Internal, "%v", err)
}

// ownerOf returns the daemon that holds a shard. When there is none, the shards
// are told to look for one to take over, and the request comes back.
func (d *Daemon) ownerOf(ctx context.Context, reg *registrar.Registrar, shard int) (string, *problem.Problem) {
	owner, err := reg.Owner(ctx, shard)
	switch {
	case err == nil && (owner == d.Settings.Daemon || d.alive(owner)):
		return owner, nil
	case err == nil:
		reg.Forget(shard)
		d.wakeLedger(reg)
	case errors.Is(err, errors.NotFound):
		d.wakeLedger(reg)
	default:
		p := problem.New(problem.LedgerUnavailable, "holder of the ledger shard is not known: %v", err)
		p.RetryAfter = time.Second
		return "", p
	}
	p := problem.New(problem.LedgerUnavailable, "the ledger shard is being taken over")
	p.RetryAfter = time.Second
	return "", p
}

// ledgerWake bounds how often requests make the shards look at their tails.
const ledgerWake = 250 * time.Millisecond

// wakeLedger makes the shards of this daemon look for one to take over.
func (d *Daemon) wakeLedger(reg *registrar.Registrar) {
	now := time.Now().UnixNano()
	last := d.woken.Load()
	if now-last > int64(ledgerWake) && d.woken.CompareAndSwap(last, now) {
		reg.Wake()
	}
}

// writeStored sends a response that the ledger holds.
func writeStored(w http.ResponseWriter, response []byte) *problem.Problem {
	var a service.Answer
	if err := cbor.Unmarshal(response, &a); err != nil {
		return problem.New(problem.Internal, "stored response cannot be read: %v", err)
	}
	writeAnswer(w, &a)
	return nil
}

// Dispatch runs an order or a draft for the ledger.
func (d *Daemon) Dispatch(ctx context.Context, l ledger.Dispatch) ledger.Outcome {
	if l.Kind == ledger.Draft {
		return d.dispatchDraft(ctx, l)
	}
	q, ok := d.orders.get(l.RequestID)
	if !ok {
		return ledger.Outcome{Ran: problem.NotRun, Problem: problem.New(problem.NoCapacity, "the caller of the order went away before it was sent")}
	}
	a, p := d.callPlain(ctx, q)
	if p != nil {
		return ledger.Outcome{Ran: problem.Of(p.Kind).Ran, Problem: p}
	}
	response, err := cbor.Marshal(a)
	if err != nil {
		return ledger.Outcome{Ran: problem.Unknown}
	}
	return ledger.Outcome{Ran: problem.HasRun, Response: response}
}

// Lookup asks a plain service for the outcome of a key.
func (d *Daemon) Lookup(ctx context.Context, l ledger.Lookup) ([]byte, bool) {
	v := d.view.Load()
	s := v.Index.serviceOf(l.Service)
	if s == nil || s.LookupPath == "" {
		return nil, false
	}
	for _, server := range v.Table.Servers(l.Service) {
		if !server.Accepting || server.Suspect {
			continue
		}
		a, err := d.Service.LookUp(ctx, server.Address, s.LookupPath, l.Key, serviceTimeout(s))
		if err != nil {
			continue
		}
		if a == nil {
			return nil, false
		}
		response, err := cbor.Marshal(a)
		return response, err == nil
	}
	return nil, false
}

var _ registrar.Dispatcher = (*Daemon)(nil)
