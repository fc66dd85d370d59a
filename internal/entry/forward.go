package entry

import (
	"net/http"

	"apricotbridge/pkg/problem"
)

// forward passes a request to the daemon that holds its shard or its answer.
func (d *Daemon) forward(_ http.ResponseWriter, _ *http.Request, _ *caller, _ string, _ []byte, _ func()) *problem.Problem {
	return problem.New(problem.Internal, "no peer links")
}
