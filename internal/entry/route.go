package entry

import (
	"sync"

	"apricotbridge/internal/instances"
)

// flights counts this daemon's requests in flight at each backend server.
type flights struct {
	mu    sync.Mutex
	count map[string]int
}

func (f *flights) init() { f.count = map[string]int{} }

func (f *flights) begin(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count[server]++
}

func (f *flights) end(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count[server]--
}

// route chooses the live backend server with the fewest requests of this daemon
// in flight and logs the decision.
func (d *Daemon) route(id, service string, attempt int, tried map[string]bool) (instances.Instance, bool) {
	var best instances.Instance
	considered, fewest := 0, 0
	d.flights.mu.Lock()
	for _, s := range d.view.Load().Servers {
		if s.Service != service || s.State != instances.Live || tried[s.ID] {
			continue
		}
		considered++
		if n := d.flights.count[s.ID]; best.ID == "" || n < fewest {
			best, fewest = s, n
		}
	}
	d.flights.mu.Unlock()
	d.Log.Info("routing decision", "RequestID", id, "Service", service, "Attempt", attempt,
		"Server", best.ID, "ServerPlace", best.Place, "Considered", considered, "Reason", "fewest in flight", "InFlight", fewest)
	return best, best.ID != ""
}
