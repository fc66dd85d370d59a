package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"apricotbridge/internal/operations"
	"apricotbridge/pkg/caller"
)

// callerTokenVariable holds the caller's bearer token, so that it need not be
// among the arguments.
const callerTokenVariable = "APRICOTBRIDGE_TOKEN"

func newRequest() *cobra.Command {
	var client caller.Client
	var q operations.Request
	var output string
	var within time.Duration
	c := &cobra.Command{
		Use:   "request",
		Short: "Send one request as a caller would",
		Long: `Send one request through the callers' library, which asks the entry which entries
to use, fails over between them, resumes a broken stream, and repeats a call only
where that can't run an order twice.

Exit codes: 0 answered, 1 refused or failed, 2 wrong usage, 3 not run and may be
sent again. An answer of a service is printed with its status and exits with 0.`,
		Example: `  apricotbridge request --entry 127.0.0.1:7001 --token counter-token --model sahayak-llm --prompt "Two plates of sukuti" --stream
  apricotbridge request --entry 127.0.0.1:7001 --token counter-token --service khata-app --path /orders --data '{"Item": "sukuti"}' --key order-17`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			if err := q.Validate(); err != nil {
				return err
			}
			if client.Token == "" {
				client.Token = os.Getenv(callerTokenVariable)
			}
			q.JSON = output == outputJSON
			ctx, cancel := context.WithTimeout(c.Context(), within)
			defer cancel()
			defer client.Close()
			return outcome(operations.Send(ctx, &client, q, c.OutOrStdout()))
		},
	}
	f := c.Flags()
	f.StringSliceVar(&client.Entries, "entry", nil, "addresses of entries, IP:port")
	f.StringVar(&client.Token, "token", "", "caller's bearer token; default is the variable "+callerTokenVariable)
	f.StringVar(&q.Model, "model", "", "model to prompt")
	f.StringVar(&q.Prompt, "prompt", "", "prompt of the model")
	f.IntVar(&q.MaxTokens, "max-tokens", 0, "longest answer; 0 leaves it to the engine")
	f.BoolVar(&q.Stream, "stream", false, "print tokens as they arrive")
	f.BoolVar(&q.Async, "async", false, "hand the prompt over and fetch its answer later")
	f.StringVar(&q.Service, "service", "", "plain service to call")
	f.StringVar(&q.Method, "method", "", "method of the call; default is POST with --data, else GET")
	f.StringVar(&q.Path, "path", "/", "path of the call within the service")
	f.StringVar(&q.Data, "data", "", "body of the call")
	f.StringVar(&q.Key, "key", "", "idempotency key")
	f.StringVar(&q.Rank, "rank", "", "rank to ask for; default is that of the service")
	f.DurationVar(&within, "within", time.Minute, "longest time for the request")
	_ = c.MarkFlagRequired("entry") // The flag is defined above.
	outputFlag(c, &output)
	return c
}
