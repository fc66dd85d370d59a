package entry

import (
	"context"
	"sync"
	"time"

	"apricotbridge/internal/cloud"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/placement"
)

// reclaimBuffer collects announced reclaims for the placement duty.
type reclaimBuffer struct {
	mu       sync.Mutex
	reclaims []placement.Reclaim
}

func (b *reclaimBuffer) drain() []placement.Reclaim {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.reclaims
	b.reclaims = nil
	return taken
}

func (b *reclaimBuffer) add(n cloud.Notice) {
	const maxReclaims = 1000
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.reclaims) < maxReclaims {
		b.reclaims = append(b.reclaims, placement.Reclaim{Place: n.Place, Class: n.Class, At: n.At, Count: 1, Running: 1})
	}
}

// followNotices handles reclaim notices: a backend server gets no new work from then
// on, and a notice for this daemon's own instance starts a drain.
func (d *Daemon) followNotices(ctx context.Context) error {
	if d.Cloud == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	retryDelay := newBackoff()
	after := int64(0)
	for ctx.Err() == nil {
		if !d.view.Load().Relay {
			sleep(ctx, pollPeriod)
			continue
		}
		notices, next, err := d.Cloud.Notices(ctx, after)
		if err != nil {
			sleep(ctx, retryDelay.NextBackOff())
			continue
		}
		retryDelay.Reset()
		after = next
		for _, n := range notices {
			d.handleNotice(ctx, n)
		}
	}
	return ctx.Err()
}

func (d *Daemon) handleNotice(ctx context.Context, n cloud.Notice) {
	if n.Instance == d.Settings.Daemon {
		d.Drain(ctx, n.Deadline)
		return
	}
	d.announcedReclaims.add(n)
	d.post(ctx, func(c *controlState, now time.Time) {
		c.serverDeadlines[n.Instance] = n.Deadline
		c.applySignal(now, membership.Signal{
			Source: membership.Notice,
			Member: membership.Member{Server: n.Instance, State: membership.Leaving, Place: n.Place, Class: n.Class},
		})
	})
}
