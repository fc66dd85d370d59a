// Command stand plays the cases of the review that are scripts: it starts the daemons as
// separate processes, beside stand-ins of the platform, of backend servers and of clients.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a case.
const (
	held     = 0
	ruleGone = 1
	notRun   = 2
)

var cases = map[string]func(ctx context.Context, rec *record, daemon string, trouble bool) (bool, error){
	"endless":   runEndless,
	"event-ids": runEventIDs,
	"failing":   runFailing,
	"leaving":   runLeaving,
	"odd-entry": runOddEntry,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER DAEMON")
		return notRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, daemon := os.Args[2], os.Args[3]
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	lock, err := takeBlock()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer lock.Close()
	broken, err := cases[os.Args[1]](ctx, rec, daemon, os.Getenv("TROUBLE") != "0")
	if e := rec.close(); err == nil {
		err = e
	}
	switch {
	case err != nil, ctx.Err() != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return notRun
	case broken:
		fmt.Println("the rule was broken")
		return ruleGone
	}
	fmt.Println("the rule held")
	return held
}
