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
		Long:    "Run the daemon of an entry instance until it is told to leave by SIGTERM, a reclaim notice or the drain command. It then finishes what it has accepted and exits with 0.",
		Example: "  apricotbridge serve --settings samples/settings.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return fault(err)
			}
			s, err := settings.Parse(text)
			if err != nil {
				return fault(err)
			}
			return serve(c.Context(), s)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file, JSON with comments")
	_ = c.MarkFlagRequired("settings") // The flag is defined above.
	return c
}

// serve runs the daemon. The end of stop, which is a signal, starts a drain.
func serve(stop context.Context, s *settings.Settings) error {
	d := entry.New(s, newLog(s))
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	select {
	case err := <-ended:
		return fault(err)
	case <-d.Ready():
		// Lets a script that starts it on port 0 learn the addresses.
		fmt.Println(d.CallerAddress(), d.OperatorAddress())
	}
	select {
	case err := <-ended:
		return fault(err)
	case <-stop.Done():
	}
	d.Drain(ctx, time.Time{})
	return fault(<-ended)
}

// newLog returns the log that the settings ask for, on standard error.
func newLog(s *settings.Settings) logr.Logger {
	options := &slog.HandlerOptions{Level: slog.Level(-s.LogLevel)}
	if s.LogFormat != nil && *s.LogFormat == settings.SettingsLogFormatConsole {
		return logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, options))
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, options))
}
