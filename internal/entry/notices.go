package entry

import (
	"context"
	"sync"
	"time"

	"apricotbridge/internal/cloud"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/placement"
)

// noticeBoard hands the reclaims that were announced to the placement duty.
type noticeBoard struct {
	mu       sync.Mutex
	reclaims []placement.Reclaim
}

func (b *noticeBoard) take() []placement.Reclaim {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.reclaims
	b.reclaims = nil
	return taken
}

func (b *noticeBoard) add(n cloud.Notice) {
	const kept = 1000
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.reclaims) < kept {
		b.reclaims = append(b.reclaims, placement.Reclaim{Place: n.Place, Class: n.Class, At: n.At, Count: 1, Running: 1})
	}
}

// followNotices acts on reclaim notices: a backend server gets no new work from
// then on, and a notice for this daemon's own instance starts a drain.
func (d *Daemon) followNotices(ctx context.Context) error {
	if d.Cloud == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	wait := newBackoff()
	after := int64(0)
	for ctx.Err() == nil {
		if !d.view.Load().Relay {
			sleep(ctx, pollPeriod)
			continue
		}
		notices, next, err := d.Cloud.Notices(ctx, after)
		if err != nil {
			sleep(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
		after = next
		for _, n := range notices {
			d.noticed(ctx, n)
		}
	}
	return ctx.Err()
}

func (d *Daemon) noticed(ctx context.Context, n cloud.Notice) {
	if n.Instance == d.Settings.Daemon {
		d.Drain(ctx, n.Deadline)
		return
	}
	d.notices.add(n)
	d.post(ctx, func(c *controlState, now time.Time) {
		c.ends[n.Instance] = n.Deadline
		c.signal(now, membership.Signal{
			Source: membership.Notice,
			Member: membership.Member{Server: n.Instance, State: membership.Leaving, Place: n.Place, Class: n.Class},
		})
	})
}
