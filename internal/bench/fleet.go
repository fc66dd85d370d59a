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

// The design size.
const (
	designDaemons = 380
	designServers = 920
	designPlaces  = 6
	// designChangesPerDay and designConfigurationBytes are those of the
	// configuration.
	designChangesPerDay      = 1700
	designConfigurationBytes = 50 << 10
	// controlBytesPerSecond is the budget of one daemon for control traffic.
	controlBytesPerSecond = 17_000.0
	controlBytesOfMemory  = 32 << 20
	controlShareOfCore    = 0.026
	// The key-value service takes several hundred writes a second; the lower end of
	// that is used as the bound.
	keyValueWrites = 300.0
	keyValueReads  = 2000.0
	secondsPerDay  = 86_400.0
)

// Sizes of the slopes.
var (
	daemonSizes = []int{6, 20, 60, 120, 380}
	serverSizes = []int{100, 230, 460, 920}
	fleetStart  = time.Unix(1_800_000_000, 0)
)

// placeOf spreads items over 6 data centres in 2 regions.
func placeOf(i int) (place, region string) {
	place = fmt.Sprintf("place-%d", i%designPlaces+1)
	return place, fmt.Sprintf("region-%d", i%designPlaces/(designPlaces/2)+1)
}

func fleetDaemons(n int) []membership.Daemon {
	daemons := make([]membership.Daemon, n)
	for i := range daemons {
		place, region := placeOf(i)
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
		place, region := placeOf(i)
		// Ids, addresses and start times are as irregular as real ones, because
		// regular ones would compress too well.
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

// fleetConfiguration returns a configuration of about the given size: organisations
// fill it up.
func fleetConfiguration(size int) ([]byte, error) {
	c := config.Configuration{
		Name: "capacity", Regions: []config.Region{{Name: "region-1"}, {Name: "region-2"}},
		Links:   []config.Link{{From: "region-1", To: "region-2", BytesPerSecond: 3_750_000, PricePerGigabyte: 0.09}},
		Classes: []config.Class{{Name: "accelerator-8", Accelerators: 8, Slots: 32, TokensPerSecond: 2800, PrefillTokensPerSecond: 20_000, CacheTokens: 400_000}},
		Ranks: []config.Rank{
			fleetRank("order", 1900*time.Millisecond, 5*time.Second), fleetRank("reply", 4*time.Second, 20*time.Second),
			fleetRank("draft", time.Minute, time.Hour),
		},
		Services: []config.Service{
			{Name: "assistant", Kind: config.ServiceKindModel, Models: []string{"assistant-small"}, DefaultRank: "reply", Repeat: config.ServiceRepeatAlways},
			{Name: "orders", Kind: config.ServiceKindPlain, DefaultRank: "order", Repeat: config.ServiceRepeatNever},
		},
	}
	for i := range designPlaces {
		place, region := placeOf(i)
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

func fleetRank(name string, first, deadline time.Duration) config.Rank {
	return config.Rank{Name: name, FirstToken: config.Duration(first), Deadline: config.Duration(deadline), Worth: 1, Floor: 0.1}
}

func fleetSettings(d membership.Daemon) *settings.Settings {
	return &settings.Settings{Daemon: d.ID, Place: d.Place, Region: d.Region}
}

// processorSeconds is the processor time that the process has used, which unlike
// elapsed time does not depend on what else runs on the machine.
func processorSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// processorTime returns the processor time of one call in microseconds, with the
// garbage collection that it causes.
func processorTime(f func()) float64 {
	const span = 0.05 // Seconds; the clock of getrusage advances in steps of a few ms.
	f()
	for n := 1; ; n *= 2 {
		began := processorSeconds()
		for range n {
			f()
		}
		if used := processorSeconds() - began; used >= span || n >= 1<<22 {
			return used / float64(n) * 1e6
		}
	}
}

// heapOf returns the bytes that build leaves in use.
func heapOf[T any](build func() T) float64 {
	before := heapBytes()
	kept := build()
	after := heapBytes()
	runtime.KeepAlive(kept)
	runtime.KeepAlive(build) // Else what build refers to would be freed in between.
	return max(0, after-before)
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// at names a size.
func at(n int, of string) string { return fmt.Sprintf("%d %s", n, of) }

// within is a figure with an upper bound.
func within(name, policy string, value float64, unit string, limit float64) Figure {
	return Figure{Name: name, Policy: policy, Value: value, Unit: unit, Bound: bound(limit), Side: AtMost}
}

// clocked is a figure that differs from run to run.
func clocked(name, policy string, value float64, unit string) Figure {
	return Figure{Name: name, Policy: policy, Value: value, Unit: unit, WallClock: true}
}
