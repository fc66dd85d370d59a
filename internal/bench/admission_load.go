package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"apricotbridge/internal/admission"
)

// Ranks of the admission scenarios.
const (
	urgentRank = "urgent"
	normalRank = "normal"
	batchRank  = "batch"
)

// admissionRanks has the design's latency targets and the default floor.
var admissionRanks = []admission.Rank{
	{Name: urgentRank, FirstToken: 1900 * time.Millisecond, Deadline: 5 * time.Second, Floor: 0.1, Worth: 10},
	{Name: normalRank, FirstToken: 5 * time.Second, Deadline: 30 * time.Second, Floor: 0.1, Worth: 3},
	{Name: batchRank, FirstToken: time.Minute, Deadline: 10 * time.Minute, Floor: 0.1, Worth: 1},
}

// betweenTokensTarget is the design's target for the mean time between tokens.
const betweenTokensTarget = 29 * time.Millisecond

// admissionService is the only service of the scenarios.
const admissionService = "kirjutaja"

// requestStream is a Poisson process of requests.
type requestStream struct {
	organisation string
	rank         string
	perSecond    float64
	// burst is the number of requests that arrive together; 0 means 1.
	burst        int
	promptTokens int
	outputTokens int
	// daemons receive the requests in turn; empty means daemon 0.
	daemons []int
}

// arrival is one request of a trace and the number of tokens that it generates.
type arrival struct {
	at           time.Duration
	daemon       int
	outputTokens int
	request      admission.Request
}

// drawArrivals draws the arrivals of the streams. Each stream has its own random source,
// so that leaving one out doesn't change the others.
func drawArrivals(seed uint64, length time.Duration, streams []requestStream) []arrival {
	var arrivals []arrival
	for i, s := range streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)+fnv1a(s.organisation+s.rank)))
		burst := max(1, s.burst)
		at := time.Duration(0)
		for n := 0; ; {
			at += time.Duration(random.ExpFloat64() / s.perSecond * float64(burst) * float64(time.Second))
			if at >= length {
				break
			}
			for range burst {
				// Lengths vary by a factor of up to two in each direction.
				prompt := max(1, int(float64(s.promptTokens)*math.Exp2(random.Float64()*2-1)))
				maxTokens := max(2, int(float64(s.outputTokens)*math.Exp2(random.Float64()*2-1)*1.5))
				daemon := 0
				if len(s.daemons) > 0 {
					daemon = s.daemons[n%len(s.daemons)]
				}
				n++
				arrivals = append(arrivals, arrival{
					at: at, daemon: daemon, outputTokens: max(1, int(float64(maxTokens)*(0.3+0.7*random.Float64()))),
					request: admission.Request{
						ID:           s.organisation + "-" + s.rank + "-" + strconv.Itoa(n),
						Organisation: s.organisation, Rank: s.rank, Service: admissionService,
						PromptTokens: prompt, MaxTokens: maxTokens,
					},
				})
			}
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

// fnv1a is the FNV-1a hash, used to seed the random source of a stream from its name.
func fnv1a(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// admissionQueue is the part of admission.Queue that the baselines implement too.
type admissionQueue interface {
	Offer(now time.Time, r admission.Request) admission.Decision
	Next(now time.Time, c admission.Capacity) (admission.Request, bool)
	Done(now time.Time, u admission.Usage) bool
	Dropped(now time.Time, buf []admission.Dropped) []admission.Dropped
	Len() int
}

// fifo is the first-come-first-served baseline, or strict priority when byRank is set.
// Each of its queues has the bound of the whole admission.Queue, so that a flood of one
// rank doesn't refuse the others under strict priority. Requests that waited beyond the
// deadline of their rank are dropped.
type fifo struct {
	byRank    bool
	queues    [3][]admission.Request
	maxQueued int
	count     int
	dropped   []admission.Dropped
}

func (f *fifo) queueIndex(rank string) int {
	i := slices.IndexFunc(admissionRanks, func(r admission.Rank) bool { return r.Name == rank })
	if f.byRank {
		return i
	}
	return 0
}

// Offer queues the request unless the queue is full.
func (f *fifo) Offer(now time.Time, r admission.Request) admission.Decision {
	queue := f.queueIndex(r.Rank)
	if len(f.queues[queue]) >= f.maxQueued {
		return admission.Decision{}
	}
	rank := slices.IndexFunc(admissionRanks, func(k admission.Rank) bool { return k.Name == r.Rank })
	r.Arrived, r.Deadline = now, now.Add(admissionRanks[rank].Deadline)
	f.queues[queue] = append(f.queues[queue], r)
	f.count++
	return admission.Decision{Queued: true}
}

// Next removes and returns the oldest request of the first queue that has one.
func (f *fifo) Next(now time.Time, _ admission.Capacity) (admission.Request, bool) {
	for i := range f.queues {
		for len(f.queues[i]) > 0 {
			r := f.queues[i][0]
			f.queues[i] = f.queues[i][1:]
			f.count--
			if now.After(r.Deadline) {
				f.dropped = append(f.dropped, admission.Dropped{Request: r})
				continue
			}
			return r, true
		}
	}
	return admission.Request{}, false
}

// Done ignores the usage, which does not affect the order of the baselines.
func (f *fifo) Done(time.Time, admission.Usage) bool { return true }

// Dropped appends the requests that exceeded their deadline to buf.
func (f *fifo) Dropped(_ time.Time, buf []admission.Dropped) []admission.Dropped {
	buf = append(buf, f.dropped...)
	f.dropped = f.dropped[:0]
	return buf
}

// Len returns the number of waiting requests.
func (f *fifo) Len() int { return f.count }
