package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/standin"
	"apricotbridge/pkg/problem"
)

// protocolCaller is a caller that follows the documented protocol
// (docs/callers.md). It fetches the list of entries, uses the entries named by a
// Draining problem or a "moved" event, and repeats a request only when it was not
// run.
type protocolCaller struct {
	client *http.Client
	token  string
	random *rand.Rand

	mu      sync.Mutex
	entries []string
	// entriesExpire is when the list of entries expires.
	entriesExpire time.Time
	// outcomes holds the number of problems by kind, failed connections and moved
	// streams.
	outcomes map[string]int
}

func newProtocolCaller(seed uint64, token string, entries ...string) *protocolCaller {
	return &protocolCaller{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}, token: token,
		random: rand.New(rand.NewPCG(seed, 7)), entries: entries, outcomes: map[string]int{},
	}
}

// maxAttempts bounds how often a request is sent while it is refused as not run, and
// how often a stream may move.
const maxAttempts = 400

// errInterrupted reports a response that was cut off, or a request that failed or
// whose outcome is unknown.
const errInterrupted = errors.ConstError("request was interrupted")

func (f *protocolCaller) countOutcome(outcome string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[outcome]++
}

// entry returns a random entry. It fetches the list of entries when the current one
// has expired.
func (f *protocolCaller) entry(ctx context.Context) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := 0; time.Now().After(f.entriesExpire) && i < len(f.entries); i++ {
		res, err := f.do(ctx, http.MethodGet, f.entries[i], "/v1/entries", "", nil)
		if err != nil {
			continue
		}
		var list struct {
			Entries     []string
			KeepSeconds float64
		}
		err = json.NewDecoder(res.Body).Decode(&list)
		_ = res.Body.Close()
		if err == nil && len(list.Entries) > 0 {
			f.entries, f.entriesExpire = list.Entries, time.Now().Add(time.Duration(list.KeepSeconds*float64(time.Second)))
		}
	}
	return f.entries[f.random.IntN(len(f.entries))]
}

// keepEntries fetches the list of entries when it has expired, until the returned
// function is called.
func (f *protocolCaller) keepEntries(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			f.entry(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// setEntries replaces the list of entries by that of a Draining problem.
func (f *protocolCaller) setEntries(entries []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(entries) > 0 {
		f.entries = entries
	}
}

// addEntry adds the entry of a moved event to the list.
func (f *protocolCaller) addEntry(entry string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.entries, entry) {
		f.entries = append(f.entries, entry)
	}
}

// expireEntries makes the next request fetch the list of entries.
func (f *protocolCaller) expireEntries() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entriesExpire = time.Time{}
}

func (f *protocolCaller) do(ctx context.Context, method, address, path, body string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if method == http.MethodPost {
		req.GetBody = nil // Prevents net/http from repeating the request.
	}
	req.Header.Set("Authorization", "Bearer "+f.token)
	return f.client.Do(req)
}

// send sends a request until an entry accepts it. It retries only after a failed
// dial or a problem with the outcome NotRun that may be retried.
func (f *protocolCaller) send(ctx context.Context, method, path, body string, header http.Header) (*http.Response, error) {
	for range maxAttempts {
		address := f.entry(ctx)
		res, err := f.do(ctx, method, address, path, body, header)
		if err != nil {
			var op *net.OpError
			if errors.As(err, &op) && op.Op == "dial" && ctx.Err() == nil {
				f.countOutcome("not connected")
				f.expireEntries()
				time.Sleep(20 * time.Millisecond)
				continue
			}
			return nil, errors.Annotatef(errInterrupted, "%s %s: %v", method, path, err)
		}
		if res.StatusCode < 400 {
			return res, nil
		}
		p, err := problemOf(res)
		if err != nil {
			return nil, errors.Annotatef(errInterrupted, "%s %s: %v", method, path, err)
		}
		f.countOutcome(string(p.Kind))
		if properties := problem.Of(p.Kind); !properties.ComeBack || properties.Ran != problem.NotRun {
			return nil, errors.Annotatef(errInterrupted, "%s %s: %v", method, path, p)
		}
		if p.Kind == problem.Draining {
			f.setEntries(p.Entries)
		}
		time.Sleep(time.Duration(20+f.randomInt(60)) * time.Millisecond)
	}
	return nil, errors.Annotatef(errInterrupted, "%s %s: refused %d times", method, path, maxAttempts)
}

func (f *protocolCaller) randomInt(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func problemOf(res *http.Response) (*problem.Problem, error) {
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	var p problem.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Kind == "" {
		return nil, errors.Errorf("status %d without a problem", res.StatusCode)
	}
	return &p, nil
}

// stream sends a streaming completion request, follows it to other entries when it
// moves, and returns the complete text.
func (f *protocolCaller) stream(ctx context.Context, prompt string, tokens int) (string, error) {
	body := fmt.Sprintf(`{"model":"sahayak-llm","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	res, err := f.send(ctx, http.MethodPost, "/v1/completions", body, nil) //nolint:bodyclose // readEvents closes it.
	if err != nil {
		return "", err
	}
	id, text, lastEvent := res.Header.Get("X-Request-ID"), "", 0
	defer f.keepEntries(ctx)()
	for range maxAttempts {
		part, lastRead, movedTo, err := readEvents(res, lastEvent)
		text += part
		lastEvent = lastRead
		switch {
		case err == nil && movedTo == "":
			return text, nil
		case err == nil:
			f.countOutcome("moved")
			f.addEntry(movedTo)
		default:
			return text, errors.Annotatef(errInterrupted, "stream %s after event %d: %v", id, lastEvent, err)
		}
		header := http.Header{"Last-Event-ID": {strconv.Itoa(lastEvent)}, "Accept": {"text/event-stream"}}
		res, err = f.do(ctx, http.MethodGet, movedTo, "/v1/requests/"+id, "", header)
		if err != nil {
			return text, errors.Annotatef(errInterrupted, "resume of %s: %v", id, err)
		}
		if res.StatusCode != http.StatusOK {
			p, err := problemOf(res)
			if err == nil {
				err = p
			}
			return text, errors.Annotatef(errInterrupted, "resume of %s at %s after event %d: %v", id, movedTo, lastEvent, err)
		}
	}
	return text, errors.Annotatef(errInterrupted, "stream %s moved %d times", id, maxAttempts)
}

// errCutOff reports a stream that ended without "[DONE]" or a "moved" event.
const errCutOff = errors.ConstError("stream was cut off")

// readEvents reads a stream to its end and returns its text, the id of its last
// event and the entry it moved to, if any. An event id that does not follow the
// previous one is an error, so that no byte is missing or repeated.
func readEvents(res *http.Response, last int) (text string, lastRead int, movedTo string, err error) {
	defer res.Body.Close()
	var received strings.Builder
	name := ""
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, err := strconv.Atoi(id)
			if err != nil || n != last+1 {
				return received.String(), last, "", errors.Errorf("event %q after event %d", id, last)
			}
			last = n
		}
		if event, ok := strings.CutPrefix(line, "event: "); ok {
			name = event
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			return received.String(), last, "", nil
		case name == "error":
			return received.String(), last, "", errors.Errorf("event error: %s", data)
		}
		var chunk struct {
			Entry   string
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return received.String(), last, "", errors.Annotatef(err, "event %d", last)
		}
		if name == "moved" {
			return received.String(), last, chunk.Entry, nil
		}
		for _, c := range chunk.Choices {
			received.WriteString(c.Text)
		}
	}
	return received.String(), last, "", errCutOff
}

// order sends an order with an idempotency key and returns its run.
func (f *protocolCaller) order(ctx context.Context, key string) (orderRun, error) {
	header := http.Header{"Idempotency-Key": {key}, submissionHeader: {key}}
	res, err := f.send(ctx, http.MethodPost, "/services/khata-app/orders", "body of "+key, header)
	if err != nil {
		return orderRun{}, err
	}
	defer res.Body.Close()
	var run orderRun
	if err := json.NewDecoder(res.Body).Decode(&run); err != nil {
		return run, errors.Annotatef(errInterrupted, "order %s: %v", key, err)
	}
	if run.Key != key {
		return run, errors.Errorf("order %s got the answer of %s", key, run.Key)
	}
	return run, nil
}

// acceptedDraft is an asynchronous request that was accepted with status 202.
type acceptedDraft struct {
	location, prompt string
	tokens           int
}

// submitDraft sends an asynchronous completion request of rank draft.
func (f *protocolCaller) submitDraft(ctx context.Context, name string, tokens int) (acceptedDraft, error) {
	body := fmt.Sprintf(`{"model":"sahayak-llm","prompt":%q,"max_tokens":%d}`, name, tokens)
	header := http.Header{"Idempotency-Key": {name}, "Prefer": {"respond-async"}, "X-Rank": {"draft"}}
	res, err := f.send(ctx, http.MethodPost, "/v1/completions", body, header)
	if err != nil {
		return acceptedDraft{}, err
	}
	defer res.Body.Close()
	location := res.Header.Get("Location")
	if res.StatusCode != http.StatusAccepted || location == "" {
		return acceptedDraft{}, errors.Errorf("draft %s: status %d, location %q", name, res.StatusCode, location)
	}
	return acceptedDraft{location: location, prompt: name, tokens: tokens}, nil
}

// fetch polls a draft until it is done and returns its text.
func (f *protocolCaller) fetch(ctx context.Context, d acceptedDraft) (string, error) {
	lastErr := errors.New("context ended before the first fetch")
	for ctx.Err() == nil {
		text, err := f.fetchOnce(ctx, d)
		if err == nil {
			return text, nil
		}
		lastErr = err
		time.Sleep(100 * time.Millisecond)
	}
	return "", errors.Annotatef(lastErr, "draft %s", d.prompt)
}

func (f *protocolCaller) fetchOnce(ctx context.Context, d acceptedDraft) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	res, err := f.do(ctx, http.MethodGet, f.entry(ctx), d.location, "", http.Header{"Accept": {"application/json"}})
	if err != nil {
		return "", err
	}
	if res.StatusCode != http.StatusOK {
		p, err := problemOf(res)
		if err != nil {
			return "", err
		}
		return "", p
	}
	defer res.Body.Close()
	var completion struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(res.Body).Decode(&completion); err != nil {
		return "", err
	}
	if len(completion.Choices) != 1 {
		return "", errors.Errorf("%d choices", len(completion.Choices))
	}
	return completion.Choices[0].Text, nil
}

// completionOf returns the complete text that the engine stand-ins generate for a
// prompt.
func completionOf(prompt string, tokens int) string {
	var want strings.Builder
	for n := 1; n <= tokens; n++ {
		want.WriteString(standin.TokenText(prompt, n))
	}
	return want.String()
}
