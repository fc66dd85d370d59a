package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
)

// Handler serves the protocol that keyvalue.Client speaks. POST /faults with a
// Faults value replaces the faults in force.
func (k *KeyValue) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key}", func(w http.ResponseWriter, r *http.Request) {
		e, err := k.Get(r.Context(), r.PathValue("key"))
		reply(w, e, err)
	})
	mux.HandleFunc("PUT /v1/kv/{key}", func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(io.LimitReader(r.Body, keyvalue.MaxValueBytes+1))
		if err != nil {
			return // The caller is gone.
		}
		e, err := k.CompareAndSwap(r.Context(), r.PathValue("key"), value, number(r, "revision"), r.FormValue("lease"))
		reply(w, e, err)
	})
	mux.HandleFunc("DELETE /v1/kv/{key}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, k.Delete(r.Context(), r.PathValue("key"), number(r, "revision")))
	})
	mux.HandleFunc("GET /v1/list", func(w http.ResponseWriter, r *http.Request) {
		entries, revision, err := k.List(r.Context(), r.FormValue("prefix"))
		reply(w, map[string]any{"Entries": entries, "Revision": revision}, err)
	})
	mux.HandleFunc("GET /v1/watch", func(w http.ResponseWriter, r *http.Request) {
		if span(r, "wait") == 0 {
			entries, revision, err := k.Since(r.Context(), r.FormValue("prefix"), number(r, "after"))
			reply(w, map[string]any{"Entries": entries, "Revision": revision}, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), span(r, "wait"))
		defer cancel()
		entries, revision, err := k.Watch(ctx, r.FormValue("prefix"), number(r, "after"))
		reply(w, map[string]any{"Entries": entries, "Revision": revision}, err)
	})
	mux.HandleFunc("POST /v1/leases/{lease}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, k.Grant(r.Context(), r.PathValue("lease"), span(r, "ttl")))
	})
	mux.HandleFunc("POST /v1/leases/{lease}/renew", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, k.Renew(r.Context(), r.PathValue("lease")))
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		k.SetFaults(f)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, k.Counts(), nil)
	})
	return mux
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.FormValue(name), 10, 64) // A missing number is 0.
	return n
}

func span(r *http.Request, name string) time.Duration {
	d, _ := time.ParseDuration(r.FormValue(name)) // A missing span is 0.
	return d
}

func reply(w http.ResponseWriter, value any, err error) {
	status := http.StatusOK
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
	case errors.Is(err, keyvalue.ErrUnknown):
		panic(http.ErrAbortHandler) // Closes the connection without an answer.
	case errors.As(err, &conflict):
		status, value = http.StatusConflict, conflict.Current
	case errors.Is(err, keyvalue.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, keyvalue.ErrLeaseLapsed):
		status = http.StatusGone
	case errors.Is(err, keyvalue.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	default:
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // A caller that has gone needs no answer.
}
