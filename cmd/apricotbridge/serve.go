package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"apricotbridge/internal/entry"
	"apricotbridge/internal/settings"
)

func newServe() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "serve",
		Short:   "Run the daemon of an entry instance",
		Long:    "Run the daemon of an entry instance until SIGTERM, a reclaim notice or the drain command. It then finishes the accepted requests and exits with 0.",
		Example: "  apricotbridge serve --settings samples/settings.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return failure(err)
			}
			s, err := settings.Parse(text)
			if err != nil {
				return failure(err)
			}
			return serve(c.Context(), s)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file, JSON with comments")
	_ = c.MarkFlagRequired("settings") // The flag is defined above.
	return c
}

// serve runs the daemon until it exits. The cancellation of stopCtx, by SIGINT or
// SIGTERM, starts a drain.
func serve(stopCtx context.Context, s *settings.Settings) error {
	daemon := entry.New(s, newLog(s))
	ctx, cancel := context.WithCancel(context.WithoutCancel(stopCtx))
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- daemon.Run(ctx) }()
	select {
	case err := <-result:
		return failure(err)
	case <-daemon.Ready():
		// A script that starts the daemon on port 0 reads the addresses here.
		fmt.Println(daemon.CallerAddress(), daemon.OperatorAddress())
	}
	select {
	case err := <-result:
		return failure(err)
	case <-stopCtx.Done():
	}
	daemon.Drain(ctx, time.Time{})
	return failure(<-result)
}

// newLog returns a logger to standard error with the level and format of the
// settings.
func newLog(s *settings.Settings) logr.Logger {
	options := &slog.HandlerOptions{Level: slog.Level(-s.LogLevel)}
	if s.LogFormat != nil && *s.LogFormat == settings.SettingsLogFormatConsole {
		return logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, options))
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, options))
}
