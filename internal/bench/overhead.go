package bench

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"apricotbridge/internal/demo"
	"apricotbridge/internal/standin"
	"apricotbridge/pkg/config"
)

// The load of the overhead measure. The engines have slots for all streams, so that
// no request waits.
const (
	overheadEngines   = 4
	overheadSlots     = 160
	overheadTokenTime = 20 * time.Millisecond
	overheadTokens    = 40
	overheadToken     = "overhead-token"
	overheadTimeout   = 30 * time.Second
)

// overheadSizes are the concurrent streams, with the rounds of each.
var overheadSizes = []struct{ streams, rounds int }{{1, 5}, {50, 3}, {400, 2}}

// streamTimes are the waits of many streams, in ms.
type streamTimes struct {
	first, between []float64
	tokens         int
	// processor is the processor time of the process in microseconds, and memory
	// what it had in use halfway.
	processor, memory float64
}

func (t *streamTimes) quantiles(of []float64) (p50, p99 float64) {
	slices.Sort(of)
	at := func(q float64) float64 { return of[int(q*float64(len(of)-1))] }
	return at(0.5), at(0.99)
}

// measureOverhead compares streams through a daemon with streams from the engines
// directly, over loopback in one process. The engines' and the readers' work is the
// same in both, so the difference is the daemon's.
func measureOverhead(seed uint64) (Result, error) {
	var r Result
	ctx, cancel := context.WithTimeout(context.Background(), overheadTimeout)
	defer cancel()
	p, entryAddress, err := overheadPlatform(ctx, seed)
	if err != nil {
		return r, err
	}
	defer p.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	defer client.CloseIdleConnections()
	// The direct streams have engines of their own: the load reports of shared ones
	// would make the daemon hold requests back.
	var engines []string
	for range overheadEngines {
		address, stop, err := serveLoopback(overheadEngine().Handler())
		if err != nil {
			return r, err
		}
		defer stop()
		engines = append(engines, address)
	}
	direct := func(i int) string { return engines[i%overheadEngines] }
	through := func(int) string { return entryAddress }
	for _, size := range overheadSizes {
		of := at(size.streams, "streams")
		var without, with, shortWithout, shortWith streamTimes
		for round := range size.rounds + 1 {
			// The first round opens the connections and is not counted.
			into := [4]*streamTimes{&without, &with, &shortWithout, &shortWith}
			if round == 0 {
				into = [4]*streamTimes{{}, {}, {}, {}}
			}
			for i, target := range []func(int) string{direct, through, direct, through} {
				tokens := overheadTokens
				if i >= 2 {
					tokens = 1
				}
				if err := runStreams(ctx, client, target, size.streams, tokens, into[i]); err != nil {
					return r, errors.Annotatef(err, "%s, round %d", of, round)
				}
			}
		}
		n := float64(size.streams * size.rounds)
		request := max(1, (shortWith.processor-shortWithout.processor)/n)
		token := max(0.01, (with.processor-without.processor)/n-request) / (overheadTokens - 1)
		firstWith50, firstWith99 := with.quantiles(with.first)
		first50, first99 := without.quantiles(without.first)
		betweenWith50, betweenWith99 := with.quantiles(with.between)
		between50, between99 := without.quantiles(without.between)
		r.Figures = append(
			r.Figures, clocked("AddedFirstTokenP50", of, firstWith50-first50, "ms"), clocked("AddedFirstTokenP99", of, firstWith99-first99, "ms"),
			clocked("AddedBetweenP50", of, betweenWith50-between50, "ms"), clocked("AddedBetweenP99", of, betweenWith99-between99, "ms"),
			clocked("DirectBetweenP50", of, between50, "ms"), clocked("DirectBetweenP99", of, between99, "ms"),
			clocked("ProcessorTimePerRequest", of, request, "us"), clocked("ProcessorTimePerToken", of, token, "us"),
			clocked("RequestsPerCore", of, 1e6/request, "requests/s"), clocked("TokensPerCore", of, 1e6/token, "tokens/s"),
			clocked("MemoryPerStream", of, (with.memory-without.memory)/float64(size.streams*size.rounds), "bytes"),
		)
	}
	return r, nil
}

func overheadEngine() *standin.Engine {
	return &standin.Engine{Slots: overheadSlots, TokenTime: overheadTokenTime, CacheTokens: 1 << 20}
}

// overheadPlatform starts engines and one daemon.
func overheadPlatform(ctx context.Context, seed uint64) (*demo.Platform, string, error) {
	p, err := demo.NewPlatform(ctx, logr.Discard(), seed)
	if err != nil {
		return nil, "", err
	}
	sum := sha256.Sum256([]byte(overheadToken))
	text, err := json.Marshal(config.Configuration{
		Name: "overhead", Regions: []config.Region{{Name: "region-1"}}, Places: []config.Place{{Name: "place-1", Region: "region-1"}},
		Classes:       []config.Class{{Name: "accelerator-8", Slots: overheadSlots, TokensPerSecond: 8000, PrefillTokensPerSecond: 1e6, CacheTokens: 1 << 20}},
		Ranks:         []config.Rank{{Name: "reply", FirstToken: config.Duration(4 * time.Second), Deadline: config.Duration(20 * time.Second), Worth: 1}},
		Services:      []config.Service{{Name: "assistant", Kind: config.ServiceKindModel, DefaultRank: "reply", Repeat: config.ServiceRepeatAlways}},
		Organisations: []config.Organisation{{Name: "caller", Weight: 1, TokenHashes: []string{hex.EncodeToString(sum[:])}}},
	})
	if err == nil {
		err = p.Apply(ctx, text)
	}
	for i := range overheadEngines {
		if err == nil {
			err = p.StartEngine(
				demo.Backend{ID: fmt.Sprint("engine-", i), Service: "assistant", Place: "place-1", Region: "region-1", Class: "accelerator-8"},
				overheadEngine(),
			)
		}
	}
	address := ""
	if err == nil {
		d, startErr := p.StartDaemon("entry-1", "place-1", "region-1")
		if err = startErr; err == nil {
			address = d.CallerAddress()
		}
	}
	for err == nil {
		t := &streamTimes{}
		if runStreams(ctx, http.DefaultClient, func(int) string { return address }, 1, 1, t) == nil {
			http.DefaultClient.CloseIdleConnections()
			return p, address, nil
		}
		time.Sleep(20 * time.Millisecond)
		err = ctx.Err()
	}
	p.Close()
	return nil, "", errors.Annotate(err, "start the platform of the overhead measure")
}

// runStreams runs streams at the same time and adds their times.
func runStreams(ctx context.Context, client *http.Client, address func(int) string, streams, tokens int, t *streamTimes) error {
	var mu sync.Mutex
	var group sync.WaitGroup
	var failed error
	halfway := make(chan struct{})
	memory := heapBytes()
	began := processorSeconds()
	for i := range streams {
		group.Go(func() {
			first, between, err := oneStream(ctx, client, address(i), tokens, func() {
				if i == 0 {
					close(halfway)
				}
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			t.first, t.between, t.tokens = append(t.first, first), append(t.between, between...), t.tokens+tokens
		})
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	paused := 0.0
	select {
	case <-halfway:
		from := processorSeconds()
		t.memory += max(0, heapBytes()-memory)
		paused = processorSeconds() - from
	case <-done:
	}
	<-done
	t.processor += (processorSeconds() - began - paused) * 1e6
	return failed
}

var streamNumber struct {
	sync.Mutex
	n int
}

func nextStream() int {
	streamNumber.Lock()
	defer streamNumber.Unlock()
	streamNumber.n++
	return streamNumber.n
}

// oneStream reads one stream and returns the wait for the first token and those
// between tokens in ms.
func oneStream(ctx context.Context, client *http.Client, address string, tokens int, half func()) (first float64, between []float64, err error) {
	number := nextStream()
	body := fmt.Sprintf(`{"model":"assistant","prompt":"%d tell me about the harvest in the valley","max_tokens":%d,"stream":true}`, number, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+overheadToken)
	req.Header.Set("X-Request-ID", fmt.Sprintf("overhead-%08d", number))
	began := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 500)) // Only for the message.
		return 0, nil, errors.Errorf("status %d: %s", res.StatusCode, text)
	}
	lines, last, n := bufio.NewScanner(res.Body), began, 0
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		now := time.Now()
		gap := now.Sub(last).Seconds() * 1000
		if n++; n == 1 {
			first = gap
		} else {
			between = append(between, gap)
		}
		if n == tokens/2 {
			half()
		}
		last = now
	}
	if n != tokens {
		return 0, nil, errors.Errorf("%d of %d tokens came", n, tokens)
	}
	return first, between, lines.Err()
}
