package entry

import (
	"context"

	"github.com/juju/errors"
)

// taskResult is the result of a task.
type taskResult struct {
	name string
	err  error
}

// taskGroup starts goroutines that report their results on one channel.
type taskGroup struct {
	ctx      context.Context
	results  chan taskResult
	started  int
	received int
}

// maxTasks is the capacity of the channel of results, so that a report never blocks.
const maxTasks = 64

func newTaskGroup(ctx context.Context) *taskGroup {
	return &taskGroup{ctx: ctx, results: make(chan taskResult, maxTasks)}
}

func (t *taskGroup) start(name string, run func(ctx context.Context) error) {
	t.started++
	go func() { t.results <- taskResult{name: name, err: run(t.ctx)} }()
}

// wait waits for all tasks and returns the first error other than context.Canceled.
func (t *taskGroup) wait() error {
	var first error
	for t.received < t.started {
		end := <-t.results
		t.received++
		if end.err != nil && first == nil && !errors.Is(end.err, context.Canceled) {
			first = errors.Annotatef(end.err, "%s ended", end.name)
		}
	}
	return first
}
