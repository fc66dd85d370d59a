package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"apricotbridge/internal/operations"
	"apricotbridge/pkg/caller"
)

// callerTokenVariable names the environment variable with the caller's bearer
// token. Arguments, unlike variables, can be read by other users of the machine.
const callerTokenVariable = "APRICOTBRIDGE_TOKEN"

func newRequest() *cobra.Command {
	var client caller.Client
	var request operations.Request
	var output string
	var within time.Duration
	c := &cobra.Command{
		Use:   "request",
		Short: "Send one request as a caller would",
		Long: `Send one request through the callers' library, which fetches the list of entries,
fails over between them, resumes a broken stream, and repeats a call only where
that can't run an order twice.

Exit codes: 0 answered, 1 refused or failed, 2 wrong usage, 3 not run and may be
sent again. An answer of a service is printed with its status and exits with 0.`,
		Example: `  apricotbridge request --entry 127.0.0.1:7001 --token counter-token --model sahayak-llm --prompt "Two plates of sukuti" --stream
  apricotbridge request --entry 127.0.0.1:7001 --token counter-token --service khata-app --path /orders --data '{"Item": "sukuti"}' --key order-17`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			if err := request.Validate(); err != nil {
				return err
			}
			if client.Token == "" {
				client.Token = os.Getenv(callerTokenVariable)
			}
			request.JSON = output == outputJSON
			ctx, cancel := context.WithTimeout(c.Context(), within)
			defer cancel()
			defer client.Close()
			return withExitCode(operations.Send(ctx, &client, request, c.OutOrStdout()))
		},
	}
	f := c.Flags()
	f.StringSliceVar(&client.Entries, "entry", nil, "addresses of entries, IP:port")
	f.StringVar(&client.Token, "token", "", "caller's bearer token; default is the variable "+callerTokenVariable)
	f.StringVar(&request.Model, "model", "", "model to prompt")
	f.StringVar(&request.Prompt, "prompt", "", "prompt of the model")
	f.IntVar(&request.MaxTokens, "max-tokens", 0, "longest answer; 0 leaves it to the engine")
	f.BoolVar(&request.Stream, "stream", false, "print tokens as they arrive")
	f.BoolVar(&request.Async, "async", false, "submit the prompt and fetch its answer later")
	f.StringVar(&request.Service, "service", "", "plain service to call")
	f.StringVar(&request.Method, "method", "", "method of the call; default is POST with --data, else GET")
	f.StringVar(&request.Path, "path", "/", "path of the call within the service")
	f.StringVar(&request.Data, "data", "", "body of the call")
	f.StringVar(&request.Key, "key", "", "idempotency key")
	f.StringVar(&request.Rank, "rank", "", "rank to ask for; default is that of the service")
	f.DurationVar(&within, "within", time.Minute, "longest time for the request")
	_ = c.MarkFlagRequired("entry") // The flag is defined above.
	addOutputFlag(c, &output)
	return c
}
