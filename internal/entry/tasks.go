package entry

import (
	"context"

	"github.com/juju/errors"
)

// taskEnd is how a task ended.
type taskEnd struct {
	name string
	err  error
}

// tasks starts goroutines that report their end on one channel.
type tasks struct {
	ctx     context.Context
	ends    chan taskEnd
	started int
	seen    int
}

// maxTasks bounds the tasks of a daemon, so that a report never blocks.
const maxTasks = 64

func newTasks(ctx context.Context) *tasks {
	return &tasks{ctx: ctx, ends: make(chan taskEnd, maxTasks)}
}

func (t *tasks) start(name string, run func(ctx context.Context) error) {
	t.started++
	go func() { t.ends <- taskEnd{name: name, err: run(t.ctx)} }()
}

// wait waits for all tasks and returns the first error that is not the end of
// the context.
func (t *tasks) wait() error {
	var first error
	for t.seen < t.started {
		end := <-t.ends
		t.seen++
		if end.err != nil && first == nil && !errors.Is(end.err, context.Canceled) {
			first = errors.Annotatef(end.err, "%s ended", end.name)
		}
	}
	return first
}
