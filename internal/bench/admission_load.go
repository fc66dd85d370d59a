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

// admissionRanks have the targets of the design page and the default floor.
var admissionRanks = []admission.Rank{
	{Name: urgentRank, FirstToken: 1900 * time.Millisecond, Deadline: 5 * time.Second, Floor: 0.1, Worth: 10},
	{Name: normalRank, FirstToken: 5 * time.Second, Deadline: 30 * time.Second, Floor: 0.1, Worth: 3},
	{Name: batchRank, FirstToken: time.Minute, Deadline: 10 * time.Minute, Floor: 0.1, Worth: 1},
}

// betweenTokensTarget is the target of the design page.
const betweenTokensTarget = 29 * time.Millisecond

// admissionService is the one service of the scenarios.
const admissionService = "kirjutaja"

// stream is a Poisson process of requests.
type stream struct {
	organisation string
	rank         string
	perSecond    float64
	// group is the number of requests that arrive together; 0 means 1.
	group  int
	prompt int
	output int
	// daemons that receive the requests in turn; empty means the first.
	daemons []int
}

// arrival is one request of a trace with the output that it will really have.
type arrival struct {
	at      time.Duration
	daemon  int
	output  int
	request admission.Request
}

// trace draws the arrivals of the streams. Each stream has its own source, so
// that leaving one out doesn't change the others.
func trace(seed uint64, length time.Duration, streams []stream) []arrival {
	var all []arrival
	for i, s := range streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)+hash(s.organisation+s.rank)))
		group := max(1, s.group)
		at := time.Duration(0)
		for n := 0; ; {
			at += time.Duration(random.ExpFloat64() / s.perSecond * float64(group) * float64(time.Second))
			if at >= length {
				break
			}
			for range group {
				// Lengths vary by a factor of two each way around the mean.
				prompt := max(1, int(float64(s.prompt)*math.Exp2(random.Float64()*2-1)))
				limit := max(2, int(float64(s.output)*math.Exp2(random.Float64()*2-1)*1.5))
				daemon := 0
				if len(s.daemons) > 0 {
					daemon = s.daemons[n%len(s.daemons)]
				}
				n++
				all = append(all, arrival{
					at: at, daemon: daemon, output: max(1, int(float64(limit)*(0.3+0.7*random.Float64()))),
					request: admission.Request{
						ID:           s.organisation + "-" + s.rank + "-" + strconv.Itoa(n),
						Organisation: s.organisation, Rank: s.rank, Service: admissionService,
						PromptTokens: prompt, MaxTokens: limit,
					},
				})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// hash is FNV-1a, to derive the source of a stream from its name.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// admitter is the part of admission.Queue that the baselines share.
type admitter interface {
	Offer(now time.Time, r admission.Request) admission.Decision
	Next(now time.Time, c admission.Capacity) (admission.Request, bool)
	Done(now time.Time, u admission.Usage) bool
	Dropped(now time.Time, buf []admission.Dropped) []admission.Dropped
	Len() int
}

// fifo is the baseline first come, first served, or strict priority when it
// orders by rank. Each of its queues has the bound of the whole real queue, so
// that a flood of one rank doesn't refuse the others under strict priority.
// Requests that waited beyond the deadline of their rank are dropped.
type fifo struct {
	byRank bool
	queues [3][]admission.Request
	bound  int
	count  int
	lost   []admission.Dropped
}

func (f *fifo) queue(rank string) int {
	i := slices.IndexFunc(admissionRanks, func(r admission.Rank) bool { return r.Name == rank })
	if f.byRank {
		return i
	}
	return 0
}

// Offer queues while there is room.
func (f *fifo) Offer(now time.Time, r admission.Request) admission.Decision {
	q := f.queue(r.Rank)
	if len(f.queues[q]) >= f.bound {
		return admission.Decision{}
	}
	i := slices.IndexFunc(admissionRanks, func(k admission.Rank) bool { return k.Name == r.Rank })
	r.Arrived, r.Deadline = now, now.Add(admissionRanks[i].Deadline)
	f.queues[q] = append(f.queues[q], r)
	f.count++
	return admission.Decision{Queued: true}
}

// Next returns the first request.
func (f *fifo) Next(now time.Time, _ admission.Capacity) (admission.Request, bool) {
	for i := range f.queues {
		for len(f.queues[i]) > 0 {
			r := f.queues[i][0]
			f.queues[i] = f.queues[i][1:]
			f.count--
			if now.After(r.Deadline) {
				f.lost = append(f.lost, admission.Dropped{Request: r})
				continue
			}
			return r, true
		}
	}
	return admission.Request{}, false
}

// Done does nothing.
func (f *fifo) Done(time.Time, admission.Usage) bool { return true }

// Dropped returns the requests that waited too long.
func (f *fifo) Dropped(_ time.Time, buf []admission.Dropped) []admission.Dropped {
	buf = append(buf, f.lost...)
	f.lost = f.lost[:0]
	return buf
}

// Len returns the number of waiting requests.
func (f *fifo) Len() int { return f.count }
