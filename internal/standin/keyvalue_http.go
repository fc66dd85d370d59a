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

// Handler serves the protocol of keyvalue.Client. POST /faults with a KeyValueFaults
// value replaces the active faults.
func (k *KeyValue) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key}", func(w http.ResponseWriter, r *http.Request) {
		e, err := k.Get(r.Context(), r.PathValue("key"))
		sendResult(w, e, err)
	})
	mux.HandleFunc("PUT /v1/kv/{key}", func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(io.LimitReader(r.Body, keyvalue.MaxValueBytes+1))
		if err != nil {
			return // The client has disconnected.
		}
		e, err := k.CompareAndSwap(r.Context(), r.PathValue("key"), value, intParam(r, "revision"), r.FormValue("lease"))
		sendResult(w, e, err)
	})
	mux.HandleFunc("DELETE /v1/kv/{key}", func(w http.ResponseWriter, r *http.Request) {
		sendResult(w, struct{}{}, k.Delete(r.Context(), r.PathValue("key"), intParam(r, "revision")))
	})
	mux.HandleFunc("GET /v1/list", func(w http.ResponseWriter, r *http.Request) {
		entries, revision, err := k.List(r.Context(), r.FormValue("prefix"))
		sendResult(w, map[string]any{"Entries": entries, "Revision": revision}, err)
	})
	mux.HandleFunc("GET /v1/watch", func(w http.ResponseWriter, r *http.Request) {
		if durationParam(r, "wait") == 0 {
			entries, revision, err := k.ChangesSince(r.Context(), r.FormValue("prefix"), intParam(r, "after"))
			sendResult(w, map[string]any{"Entries": entries, "Revision": revision}, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), durationParam(r, "wait"))
		defer cancel()
		entries, revision, err := k.Watch(ctx, r.FormValue("prefix"), intParam(r, "after"))
		sendResult(w, map[string]any{"Entries": entries, "Revision": revision}, err)
	})
	mux.HandleFunc("POST /v1/leases/{lease}", func(w http.ResponseWriter, r *http.Request) {
		sendResult(w, struct{}{}, k.Grant(r.Context(), r.PathValue("lease"), durationParam(r, "ttl")))
	})
	mux.HandleFunc("POST /v1/leases/{lease}/renew", func(w http.ResponseWriter, r *http.Request) {
		sendResult(w, struct{}{}, k.Renew(r.Context(), r.PathValue("lease")))
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f KeyValueFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		k.SetFaults(f)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		sendResult(w, k.Counts(), nil)
	})
	return mux
}

func intParam(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.FormValue(name), 10, 64) // A missing or invalid number counts as 0.
	return n
}

func durationParam(r *http.Request, name string) time.Duration {
	d, _ := time.ParseDuration(r.FormValue(name)) // A missing or invalid duration counts as 0.
	return d
}

func sendResult(w http.ResponseWriter, value any, err error) {
	status := http.StatusOK
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
	case errors.Is(err, keyvalue.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler) // Closes the connection without a response.
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
	_ = json.NewEncoder(w).Encode(value) // An error means that the client has disconnected.
}
