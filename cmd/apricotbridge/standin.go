package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"apricotbridge/internal/instances"
	"apricotbridge/internal/standin"
)

func newStandin() *cobra.Command {
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of an outside system, for trying and tests",
		Example: `  apricotbridge standin key-value --listen 127.0.0.1:7100
  apricotbridge standin instances --listen 127.0.0.1:7101
  apricotbridge standin engine --listen 127.0.0.1:7200 --id e1 --service sahayak-llm --place asan --region bagmati --instances http://127.0.0.1:7101`,
	}
	c.AddCommand(
		standinCommand("key-value", "Run a stand-in of the key-value service", func(instances.Instance) http.Handler {
			return standin.NewKeyValue(1).Handler()
		}),
		standinCommand("instances", "Run a stand-in of the instance list", func(instances.Instance) http.Handler {
			return standin.NewInstances().Handler()
		}),
		standinCommand("engine", "Run a stand-in of a model engine", func(instances.Instance) http.Handler {
			e := &standin.Engine{
				Slots: 8, TokenTime: 10 * time.Millisecond, PrefillTime: 20 * time.Microsecond,
				CacheTokens: 1 << 16, ReportLag: time.Second, DropEvents: 10,
				Crash: func() { os.Exit(exitFailure) },
			}
			return e.Handler()
		}),
		standinCommand("service", "Run a stand-in of a plain order service", func(instances.Instance) http.Handler {
			s := &standin.Service{Latency: 5 * time.Millisecond, Runs: &standin.RunLog{}}
			return s.Handler()
		}),
	)
	return c
}

// standinCommand returns a command that serves a stand-in. With --instances, it
// registers the stand-in in that instance list.
func standinCommand(use, short string, handler func(instances.Instance) http.Handler) *cobra.Command {
	var listen, instanceList string
	var instance instances.Instance
	c := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		Example: "  apricotbridge standin " + use + " --listen 127.0.0.1:7100",
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return failure(err)
			}
			fmt.Fprintln(c.OutOrStdout(), l.Addr()) // A script that starts it on port 0 reads the address here.
			if instanceList != "" {
				instance.Address, instance.Incarnation = l.Addr().String(), time.Now().UnixNano()
				if err := registerInstance(c.Context(), instanceList, instance); err != nil {
					return unavailable(err)
				}
			}
			return serveStandin(c.Context(), l, handler(instance))
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&instanceList, "instances", "", "base URL of the instance list stand-in to register this server in")
	f.StringVar(&instance.ID, "id", "", "id of this instance")
	f.StringVar(&instance.Service, "service", "", "service that it runs")
	f.StringVar(&instance.Place, "place", "", "place where it runs")
	f.StringVar(&instance.Region, "region", "", "region where it runs")
	f.StringVar(&instance.Class, "class", "", "machine class")
	return c
}

func serveStandin(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	serveResult := make(chan error, 1)
	go func() { serveResult <- s.Serve(l) }()
	select {
	case err := <-serveResult:
		return failure(err)
	case <-ctx.Done():
		return s.Close()
	}
}

// registerInstance registers an instance in the instance list stand-in.
func registerInstance(ctx context.Context, instanceList string, instance instances.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return errors.Annotate(err, "encode instance")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, instanceList+"/instances", bytes.NewReader(body))
	if err != nil {
		return errors.Annotate(err, "build call to the instance list")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Annotate(err, "register instance")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("instance list answered status %d", res.StatusCode)
	}
	return nil
}
