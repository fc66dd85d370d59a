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

// pendingOrders holds the calls of orders between submission and dispatch. The ledger
// stores only what distinguishes two requests with one key. Headers stay here,
// because the next holder of a shard never dispatches an order.
type pendingOrders struct {
	mu    sync.Mutex
	calls map[string]plainCall
}

func (o *pendingOrders) add(q plainCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls = map[string]plainCall{}
	}
	o.calls[q.id] = q
}

func (o *pendingOrders) get(id string) (plainCall, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, ok := o.calls[id]
	return q, ok
}

func (o *pendingOrders) remove(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, id)
}

// storedOrder is what the ledger compares when a key is sent again. Headers such as
// User-Agent are left out, because they differ between the client libraries of one
// organisation.
type storedOrder struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// serveOrder runs a keyed call that must not be repeated through the ledger.
func (d *Daemon) serveOrder(w http.ResponseWriter, r *http.Request, c *callerRequest, q plainCall) *problem.Problem {
	reg := d.registrar.Load()
	if reg == nil {
		return ledgerNotStarted()
	}
	shard := ledger.ShardOf(q.organisation, q.key, reg.Shards)
	if holder, p := d.shardHolder(r.Context(), reg, shard); p != nil {
		return p
	} else if holder != d.Settings.Daemon {
		return d.forward(w, r, c, holder, q.call.Body, func() { reg.ForgetHolder(shard) })
	}
	request, err := cbor.Marshal(storedOrder{
		Method: q.call.Method, Path: q.call.Path, ContentType: q.call.Header.Get("Content-Type"), Body: q.call.Body,
	})
	if err != nil {
		return problem.New(problem.Internal, "encode order: %v", err)
	}
	d.orders.add(q)
	result, err := reg.Submit(r.Context(), registrar.Submission{
		Organisation: q.organisation, Key: q.key, Kind: ledger.Order, Service: q.service.Name,
		RequestID: q.id, Request: request, Lookup: q.service.LookupPath != "",
	})
	d.orders.remove(q.id)
	if err != nil {
		return problemFromError(err)
	}
	return writeStoredResponse(w, result.Response)
}

func ledgerNotStarted() *problem.Problem {
	p := problem.New(problem.LedgerUnavailable, "the ledger has not started")
	p.RetryAfter = time.Second
	return p
}

// problemFromError returns the problem that an error wraps, or an internal problem.
func problemFromError(err error) *problem.Problem {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return problem.New(problem.Internal, "%v", err)
}

// shardHolder returns the daemon that holds a shard. When there is none, it wakes the
// ledger to take the shard over and returns a retryable problem.
func (d *Daemon) shardHolder(ctx context.Context, reg *registrar.Registrar, shard int) (string, *problem.Problem) {
	holder, err := reg.Holder(ctx, shard)
	switch {
	case err == nil && (holder == d.Settings.Daemon || d.isReachable(holder)):
		return holder, nil
	case err == nil:
		reg.ForgetHolder(shard)
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

// ledgerWakePeriod is the least time between wake-ups of the ledger by requests.
const ledgerWakePeriod = 250 * time.Millisecond

// wakeLedger makes the ledger of this daemon look for a shard to take over.
func (d *Daemon) wakeLedger(reg *registrar.Registrar) {
	now := time.Now().UnixNano()
	last := d.ledgerWokenAt.Load()
	if now-last > int64(ledgerWakePeriod) && d.ledgerWokenAt.CompareAndSwap(last, now) {
		reg.Wake()
	}
}

// writeStoredResponse sends a response that the ledger stored.
func writeStoredResponse(w http.ResponseWriter, response []byte) *problem.Problem {
	var a service.Response
	if err := cbor.Unmarshal(response, &a); err != nil {
		return problem.New(problem.Internal, "stored response cannot be read: %v", err)
	}
	writeServiceResponse(w, &a)
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

// Lookup asks a plain service for the outcome of an idempotency key.
func (d *Daemon) Lookup(ctx context.Context, l ledger.Lookup) ([]byte, bool) {
	v := d.view.Load()
	s := v.Index.serviceOrNil(l.Service)
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
