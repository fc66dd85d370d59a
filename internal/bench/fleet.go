package bench

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotbridge/internal/instances"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/settings"
	"apricotbridge/pkg/config"
)

// The design size, and budgets from the design.
const (
	designDaemons = 380
	designServers = 920
	designPlaces  = 6
	// Number of configuration changes a day and size of the configuration.
	designChangesPerDay      = 1700
	designConfigurationBytes = 50 << 10
	// Budgets of one daemon for control.
	maxControlBytesPerSecond = 17_000.0
	maxControlMemoryBytes    = 32 << 20
	maxControlShareOfCore    = 0.026
	// A key-value service takes several hundred writes per second; the lower end is the
	// bound.
	maxKeyValueWrites = 300.0
	maxKeyValueReads  = 2000.0
	secondsPerDay     = 86_400.0
)

// Sizes of the measures that scale the fleet, and its start time.
var (
	daemonSizes = []int{6, 20, 60, 120, 380}
	serverSizes = []int{100, 230, 460, 920}
	fleetStart  = time.Unix(1_800_000_000, 0)
)

// placeAndRegion distributes items over 6 data centres in 2 regions by their number.
func placeAndRegion(i int) (place, region string) {
	place = fmt.Sprintf("place-%d", i%designPlaces+1)
	return place, fmt.Sprintf("region-%d", i%designPlaces/(designPlaces/2)+1)
}

func fleetDaemons(n int) []membership.Daemon {
	daemons := make([]membership.Daemon, n)
	for i := range daemons {
		place, region := placeAndRegion(i)
		daemons[i] = membership.Daemon{
			ID: fmt.Sprintf("entry-%s-%04d", place, i), Start: fleetStart.UnixNano() + int64(i), Place: place, Region: region,
			PeerAddress: fmt.Sprintf("10.%d.%d.%d:7002", i%designPlaces, i/250, i%250), CallerAddress: fmt.Sprintf("10.%d.%d.%d:7001", i%designPlaces, i/250, i%250),
		}
	}
	return daemons
}

func fleetInstances(n int) instances.List {
	l := instances.List{AsOf: fleetStart, Instances: make([]instances.Instance, n)}
	for i := range l.Instances {
		place, region := placeAndRegion(i)
		// Ids, addresses and start times are irregular like real ones, because regular ones
		// would compress too well.
		random := xxhash.Sum64String(fmt.Sprint("instance-", i))
		started := fleetStart.Add(-time.Duration(random % uint64(30*24*time.Hour)))
		l.Instances[i] = instances.Instance{
			ID: fmt.Sprintf("i-%016x", random), Address: fmt.Sprintf("10.%d.%d.%d:8000", 100+i%designPlaces, random%64, random>>8%256),
			Incarnation: started.UnixNano(), Place: place, Region: region, Class: "accelerator-8", Service: "assistant",
			State: instances.Live, Price: 9.5 + float64(random%90)/100, Reclaimable: i%100 < 82, Since: started,
		}
	}
	return l
}

func fleetMembers(n int) []membership.Member {
	var members []membership.Member
	for _, i := range fleetInstances(n).Instances {
		members = append(members, membership.Member{
			Server: i.ID, Incarnation: i.Incarnation, State: membership.Serving, Address: i.Address,
			Service: i.Service, Place: i.Place, Class: i.Class,
		})
	}
	return members
}

// fleetConfiguration returns a configuration of about the given size in bytes, filled up
// with organisations.
func fleetConfiguration(size int) ([]byte, error) {
	c := config.Configuration{
		Name: "capacity", Regions: []config.Region{{Name: "region-1"}, {Name: "region-2"}},
		Links:   []config.Link{{From: "region-1", To: "region-2", BytesPerSecond: 3_750_000, PricePerGigabyte: 0.09}},
		Classes: []config.Class{{Name: "accelerator-8", Accelerators: 8, Slots: 32, TokensPerSecond: 2800, PrefillTokensPerSecond: 20_000, CacheTokens: 400_000}},
		Ranks: []config.Rank{
			newRank("order", 1900*time.Millisecond, 5*time.Second), newRank("reply", 4*time.Second, 20*time.Second),
			newRank("draft", time.Minute, time.Hour),
		},
		Services: []config.Service{
			{Name: "assistant", Kind: config.ServiceKindModel, Models: []string{"assistant-small"}, DefaultRank: "reply", Repeat: config.ServiceRepeatAlways},
			{Name: "orders", Kind: config.ServiceKindPlain, DefaultRank: "order", Repeat: config.ServiceRepeatNever},
		},
	}
	for i := range designPlaces {
		place, region := placeAndRegion(i)
		c.Places = append(c.Places, config.Place{Name: place, Region: region, OnDemand: true})
	}
	var text []byte
	for i := 0; len(text) < size; i++ {
		name := fmt.Sprintf("organisation-%03d", i)
		c.Organisations = append(c.Organisations, config.Organisation{Name: name, Weight: 1, TokenHashes: []string{fmt.Sprintf("%x", sha256.Sum256([]byte(name)))}})
		var err error
		if text, err = json.Marshal(c); err != nil {
			return nil, err
		}
	}
	return text, nil
}

func newRank(name string, first, deadline time.Duration) config.Rank {
	return config.Rank{Name: name, FirstToken: config.Duration(first), Deadline: config.Duration(deadline), Worth: 1, Floor: 0.1}
}

func fleetSettings(d membership.Daemon) *settings.Settings {
	return &settings.Settings{Daemon: d.ID, Place: d.Place, Region: d.Region}
}

// processorSeconds returns the processor time used by the process. Unlike elapsed time it
// does not depend on the load of the machine.
func processorSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// processorTime returns the processor time of one call in microseconds, including the
// garbage collection that it causes.
func processorTime(f func()) float64 {
	const minSeconds = 0.05 // The clock of getrusage advances in steps of a few ms.
	f()
	for calls := 1; ; calls *= 2 {
		start := processorSeconds()
		for range calls {
			f()
		}
		if used := processorSeconds() - start; used >= minSeconds || calls >= 1<<22 {
			return used / float64(calls) * 1e6
		}
	}
}

// heapOf returns the heap bytes held by the value that build returns.
func heapOf[T any](build func() T) float64 {
	before := heapBytes()
	kept := build()
	after := heapBytes()
	runtime.KeepAlive(kept)
	runtime.KeepAlive(build) // Otherwise a collection could free what build captures.
	return max(0, after-before)
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// sizeLabel returns a size as the policy items a figure, for example "380 daemons".
func sizeLabel(n int, items string) string { return fmt.Sprintf("%d %s", n, items) }

// boundedFigure returns a figure with an upper bound.
func boundedFigure(name, policy string, value float64, unit string, limit float64) Figure {
	return Figure{Name: name, Policy: policy, Value: value, Unit: unit, Bound: newBound(limit), Side: AtMost}
}

// wallClockFigure returns a figure that differs from run to run.
func wallClockFigure(name, policy string, value float64, unit string) Figure {
	return Figure{Name: name, Policy: policy, Value: value, Unit: unit, WallClock: true}
}
