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
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/standin"
	"apricotbridge/pkg/problem"
)

// follower is a caller that keeps to the documented protocol: it reads the list
// of entries, goes where a Draining problem or an event "moved" says, and sends a
// request again only when it was not run.
type follower struct {
	client *http.Client
	token  string
	random *rand.Rand

	mu      sync.Mutex
	entries []string
	until   time.Time
	// counts are what was met on the way.
	counts map[string]int
}

func newFollower(seed uint64, token string, entries ...string) *follower {
	return &follower{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}, token: token,
		random: rand.New(rand.NewPCG(seed, 7)), entries: entries, counts: map[string]int{},
	}
}

// attempts bounds how often a request is sent while it is refused as not run.
const attempts = 400

// errInterrupted reports a response that broke off, or a request whose fate the
// caller does not know.
const errInterrupted = errors.ConstError("request was interrupted")

func (f *follower) count(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[what]++
}

// entry returns the address to use, from a list that is at most as old as its
// answer said.
func (f *follower) entry(ctx context.Context) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := 0; time.Now().After(f.until) && i < len(f.entries); i++ {
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
			f.entries, f.until = list.Entries, time.Now().Add(time.Duration(list.KeepSeconds*float64(time.Second)))
		}
	}
	return f.entries[f.random.IntN(len(f.entries))]
}

// use replaces the list of entries by the one of a Draining problem.
func (f *follower) use(entries []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(entries) > 0 {
		f.entries = entries
	}
}

// refresh has the list of entries read again.
func (f *follower) refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until = time.Time{}
}

func (f *follower) do(ctx context.Context, method, address, path, body string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if method == http.MethodPost {
		req.GetBody = nil // Keeps net/http from sending it again by itself.
	}
	req.Header.Set("Authorization", "Bearer "+f.token)
	return f.client.Do(req)
}

// send sends a request until an entry takes it. Only a connection that was not
// made and a problem that says NotRun let it be sent again.
func (f *follower) send(ctx context.Context, method, path, body string, header http.Header) (*http.Response, error) {
	for range attempts {
		address := f.entry(ctx)
		res, err := f.do(ctx, method, address, path, body, header)
		if err != nil {
			var op *net.OpError
			if errors.As(err, &op) && op.Op == "dial" && ctx.Err() == nil {
				f.count("not connected")
				f.refresh()
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
		f.count(string(p.Kind))
		if row := problem.Of(p.Kind); !row.ComeBack || row.Ran != problem.NotRun {
			return nil, errors.Annotatef(errInterrupted, "%s %s: %v", method, path, p)
		}
		if p.Kind == problem.Draining {
			f.use(p.Entries)
		}
		time.Sleep(time.Duration(20+f.jitter(60)) * time.Millisecond)
	}
	return nil, errors.Annotatef(errInterrupted, "%s %s: refused %d times", method, path, attempts)
}

func (f *follower) jitter(n int) int {
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

// stream sends a completion request as a stream and returns its whole text.
func (f *follower) stream(ctx context.Context, prompt string, tokens int) (string, error) {
	body := fmt.Sprintf(`{"model":"sahayak-llm","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	res, err := f.send(ctx, http.MethodPost, "/v1/completions", body, nil) //nolint:bodyclose // readEvents closes it.
	if err != nil {
		return "", err
	}
	id, text, last := res.Header.Get("X-Request-ID"), "", 0
	for range attempts {
		part, end, moved, err := readEvents(res, last)
		text += part
		last = end
		switch {
		case err == nil && moved == "":
			return text, nil
		case err == nil:
			f.count("moved")
		default:
			return text, errors.Annotatef(errInterrupted, "stream %s after event %d: %v", id, last, err)
		}
		header := http.Header{"Last-Event-ID": {strconv.Itoa(last)}, "Accept": {"text/event-stream"}}
		res, err = f.do(ctx, http.MethodGet, moved, "/v1/requests/"+id, "", header)
		if err != nil {
			return text, errors.Annotatef(errInterrupted, "resume of %s: %v", id, err)
		}
		if res.StatusCode != http.StatusOK {
			p, err := problemOf(res)
			if err == nil {
				err = p
			}
			return text, errors.Annotatef(errInterrupted, "resume of %s at %s after event %d: %v", id, moved, last, err)
		}
	}
	return text, errors.Annotatef(errInterrupted, "stream %s moved %d times", id, attempts)
}

// errCutOff reports a stream without an end.
const errCutOff = errors.ConstError("stream was cut off")

// readEvents reads a stream to its end. An event that does not follow the last
// one is an error, so that no byte is missing or repeated.
func readEvents(res *http.Response, last int) (text string, end int, moved string, err error) {
	defer res.Body.Close()
	var got strings.Builder
	name := ""
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, err := strconv.Atoi(id)
			if err != nil || n != last+1 {
				return got.String(), last, "", errors.Errorf("event %q after event %d", id, last)
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
			return got.String(), last, "", nil
		case name == "error":
			return got.String(), last, "", errors.Errorf("event error: %s", data)
		}
		var chunk struct {
			Entry   string
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return got.String(), last, "", errors.Annotatef(err, "event %d", last)
		}
		if name == "moved" {
			return got.String(), last, chunk.Entry, nil
		}
		for _, c := range chunk.Choices {
			got.WriteString(c.Text)
		}
	}
	return got.String(), last, "", errCutOff
}

// order sends a keyed order and returns its run.
func (f *follower) order(ctx context.Context, key string) (orderRun, error) {
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

// draft is a request that was accepted with 202.
type draft struct {
	location, prompt string
	tokens           int
}

// draft sends a draft that is answered before it is done.
func (f *follower) draft(ctx context.Context, name string, tokens int) (draft, error) {
	body := fmt.Sprintf(`{"model":"sahayak-llm","prompt":%q,"max_tokens":%d}`, name, tokens)
	header := http.Header{"Idempotency-Key": {name}, "Prefer": {"respond-async"}, "X-Rank": {"draft"}}
	res, err := f.send(ctx, http.MethodPost, "/v1/completions", body, header)
	if err != nil {
		return draft{}, err
	}
	defer res.Body.Close()
	location := res.Header.Get("Location")
	if res.StatusCode != http.StatusAccepted || location == "" {
		return draft{}, errors.Errorf("draft %s: status %d, location %q", name, res.StatusCode, location)
	}
	return draft{location: location, prompt: name, tokens: tokens}, nil
}

// fetch returns the text of a draft once it is done.
func (f *follower) fetch(ctx context.Context, d draft) (string, error) {
	last := errors.New("no time left to fetch it")
	for ctx.Err() == nil {
		text, err := f.fetchOnce(ctx, d)
		if err == nil {
			return text, nil
		}
		last = err
		time.Sleep(100 * time.Millisecond)
	}
	return "", errors.Annotatef(last, "draft %s", d.prompt)
}

func (f *follower) fetchOnce(ctx context.Context, d draft) (string, error) {
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
	var whole struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(res.Body).Decode(&whole); err != nil {
		return "", err
	}
	if len(whole.Choices) != 1 {
		return "", errors.Errorf("%d choices", len(whole.Choices))
	}
	return whole.Choices[0].Text, nil
}

// completionOf returns the whole text that engines generate for a prompt.
func completionOf(prompt string, tokens int) string {
	var want strings.Builder
	for n := 1; n <= tokens; n++ {
		want.WriteString(standin.Completion(prompt, n))
	}
	return want.String()
}
