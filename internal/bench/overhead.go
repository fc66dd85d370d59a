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

// Load of the overhead measure. The engines have slots for all streams, so that no request
// waits.
const (
	overheadEngines    = 4
	overheadSlots      = 160
	overheadTokenTime  = 20 * time.Millisecond
	overheadTokens     = 40
	overheadCredential = "overhead-token"
	overheadTimeout    = 30 * time.Second
)

// overheadSizes are the numbers of concurrent streams and of rounds with each.
var overheadSizes = []struct{ streams, rounds int }{{1, 5}, {50, 3}, {400, 2}}

// streamTimes collects the times of many streams in ms.
type streamTimes struct {
	firstToken, betweenTokens []float64
	tokens                    int
	// processorMicros is the processor time of the process in microseconds, and
	// memoryBytes the growth of its heap halfway through the streams.
	processorMicros, memoryBytes float64
}

func (t *streamTimes) quantiles(values []float64) (p50, p99 float64) {
	slices.Sort(values)
	quantile := func(q float64) float64 { return values[int(q*float64(len(values)-1))] }
	return quantile(0.5), quantile(0.99)
}

// measureOverhead compares streams through a daemon with streams directly from the engines,
// over loopback in one process. Engines and readers do the same work in both cases, so the
// difference is the daemon's.
func measureOverhead(seed uint64) (Result, error) {
	var r Result
	ctx, cancel := context.WithTimeout(context.Background(), overheadTimeout)
	defer cancel()
	platform, entryAddress, err := overheadPlatform(ctx, seed)
	if err != nil {
		return r, err
	}
	defer platform.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	defer client.CloseIdleConnections()
	// The direct streams have engines of their own: on shared engines their load would
	// appear in load reports, and the daemon would hold requests back.
	var engines []string
	for range overheadEngines {
		address, stop, err := serveLoopback(overheadEngine().Handler())
		if err != nil {
			return r, err
		}
		defer stop()
		engines = append(engines, address)
	}
	engineAddress := func(i int) string { return engines[i%overheadEngines] }
	daemonAddress := func(int) string { return entryAddress }
	for _, load := range overheadSizes {
		size := sizeLabel(load.streams, "streams")
		var direct, proxied, shortDirect, shortProxied streamTimes
		for round := range load.rounds + 1 {
			// Round 0 opens the connections and is not counted.
			results := [4]*streamTimes{&direct, &proxied, &shortDirect, &shortProxied}
			if round == 0 {
				results = [4]*streamTimes{{}, {}, {}, {}}
			}
			for i, target := range []func(int) string{engineAddress, daemonAddress, engineAddress, daemonAddress} {
				tokens := overheadTokens
				if i >= 2 {
					tokens = 1
				}
				if err := runStreams(ctx, client, target, load.streams, tokens, results[i]); err != nil {
					return r, errors.Annotatef(err, "%s, round %d", size, round)
				}
			}
		}
		requests := float64(load.streams * load.rounds)
		requestMicros := max(1, (shortProxied.processorMicros-shortDirect.processorMicros)/requests)
		tokenMicros := max(0.01, (proxied.processorMicros-direct.processorMicros)/requests-requestMicros) / (overheadTokens - 1)
		proxiedFirst50, proxiedFirst99 := proxied.quantiles(proxied.firstToken)
		directFirst50, directFirst99 := direct.quantiles(direct.firstToken)
		proxiedBetween50, proxiedBetween99 := proxied.quantiles(proxied.betweenTokens)
		directBetween50, directBetween99 := direct.quantiles(direct.betweenTokens)
		r.Figures = append(
			r.Figures, wallClockFigure("AddedFirstTokenP50", size, proxiedFirst50-directFirst50, "ms"), wallClockFigure("AddedFirstTokenP99", size, proxiedFirst99-directFirst99, "ms"),
			wallClockFigure("AddedBetweenP50", size, proxiedBetween50-directBetween50, "ms"), wallClockFigure("AddedBetweenP99", size, proxiedBetween99-directBetween99, "ms"),
			wallClockFigure("DirectBetweenP50", size, directBetween50, "ms"), wallClockFigure("DirectBetweenP99", size, directBetween99, "ms"),
			wallClockFigure("ProcessorTimePerRequest", size, requestMicros, "us"), wallClockFigure("ProcessorTimePerToken", size, tokenMicros, "us"),
			wallClockFigure("RequestsPerCore", size, 1e6/requestMicros, "requests/s"), wallClockFigure("TokensPerCore", size, 1e6/tokenMicros, "tokens/s"),
			wallClockFigure("MemoryPerStream", size, (proxied.memoryBytes-direct.memoryBytes)/float64(load.streams*load.rounds), "bytes"),
		)
	}
	return r, nil
}

func overheadEngine() *standin.Engine {
	return &standin.Engine{Slots: overheadSlots, TokenTime: overheadTokenTime, CacheTokens: 1 << 20}
}

// overheadPlatform starts engines and one daemon, and waits until it serves.
func overheadPlatform(ctx context.Context, seed uint64) (*demo.Platform, string, error) {
	platform, err := demo.NewPlatform(ctx, logr.Discard(), seed)
	if err != nil {
		return nil, "", err
	}
	sum := sha256.Sum256([]byte(overheadCredential))
	text, err := json.Marshal(config.Configuration{
		Name: "overhead", Regions: []config.Region{{Name: "region-1"}}, Places: []config.Place{{Name: "place-1", Region: "region-1"}},
		Classes:       []config.Class{{Name: "accelerator-8", Slots: overheadSlots, TokensPerSecond: 8000, PrefillTokensPerSecond: 1e6, CacheTokens: 1 << 20}},
		Ranks:         []config.Rank{{Name: "reply", FirstToken: config.Duration(4 * time.Second), Deadline: config.Duration(20 * time.Second), Worth: 1}},
		Services:      []config.Service{{Name: "assistant", Kind: config.ServiceKindModel, DefaultRank: "reply", Repeat: config.ServiceRepeatAlways}},
		Organisations: []config.Organisation{{Name: "caller", Weight: 1, TokenHashes: []string{hex.EncodeToString(sum[:])}}},
	})
	if err == nil {
		err = platform.Apply(ctx, text)
	}
	for i := range overheadEngines {
		if err == nil {
			err = platform.StartEngine(
				demo.Backend{ID: fmt.Sprint("engine-", i), Service: "assistant", Place: "place-1", Region: "region-1", Class: "accelerator-8"},
				overheadEngine(),
			)
		}
	}
	address := ""
	if err == nil {
		daemon, startErr := platform.StartDaemon("entry-1", "place-1", "region-1")
		if err = startErr; err == nil {
			address = daemon.CallerAddress()
		}
	}
	for err == nil {
		times := &streamTimes{}
		if runStreams(ctx, http.DefaultClient, func(int) string { return address }, 1, 1, times) == nil {
			http.DefaultClient.CloseIdleConnections()
			return platform, address, nil
		}
		time.Sleep(20 * time.Millisecond)
		err = ctx.Err()
	}
	platform.Close()
	return nil, "", errors.Annotate(err, "start the platform of the overhead measure")
}

// runStreams runs streams concurrently and adds their times.
func runStreams(ctx context.Context, client *http.Client, address func(int) string, streams, tokens int, times *streamTimes) error {
	var mu sync.Mutex
	var group sync.WaitGroup
	var failed error
	halfway := make(chan struct{})
	memory := heapBytes()
	start := processorSeconds()
	for i := range streams {
		group.Go(func() {
			first, between, err := readStream(ctx, client, address(i), tokens, func() {
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
			times.firstToken, times.betweenTokens, times.tokens = append(times.firstToken, first), append(times.betweenTokens, between...), times.tokens+tokens
		})
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	heapReadSeconds := 0.0
	select {
	case <-halfway:
		pauseStart := processorSeconds()
		times.memoryBytes += max(0, heapBytes()-memory)
		heapReadSeconds = processorSeconds() - pauseStart
	case <-done:
	}
	<-done
	times.processorMicros += (processorSeconds() - start - heapReadSeconds) * 1e6
	return failed
}

var lastStream struct {
	sync.Mutex
	n int
}

func nextStreamNumber() int {
	lastStream.Lock()
	defer lastStream.Unlock()
	lastStream.n++
	return lastStream.n
}

// readStream reads one stream and returns the time to the first token and the times between
// tokens in ms.
func readStream(ctx context.Context, client *http.Client, address string, tokens int, onHalfway func()) (first float64, between []float64, err error) {
	number := nextStreamNumber()
	body := fmt.Sprintf(`{"model":"assistant","prompt":"%d tell me about the harvest in the valley","max_tokens":%d,"stream":true}`, number, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+overheadCredential)
	req.Header.Set("X-Request-ID", fmt.Sprintf("overhead-%08d", number))
	start := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 500)) // Only for the error message.
		return 0, nil, errors.Errorf("status %d: %s", res.StatusCode, text)
	}
	scanner, last, received := bufio.NewScanner(res.Body), start, 0
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		now := time.Now()
		gap := now.Sub(last).Seconds() * 1000
		if received++; received == 1 {
			first = gap
		} else {
			between = append(between, gap)
		}
		if received == tokens/2 {
			onHalfway()
		}
		last = now
	}
	if received != tokens {
		return 0, nil, errors.Errorf("received %d of %d tokens", received, tokens)
	}
	return first, between, scanner.Err()
}
