// Command stand2 plays the scripted cases of the second review: it starts gateways as separate processes between
// stand-ins of clients, servers and the platform. It exits with 1 if the rule of the case was broken, 0 if it held
// and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// config is what all cases use.
type config struct {
	rec      *recorder
	store    *store
	trouble  bool
	binary   string
	temp     string
	cloud    string
	gateways []*gateway
}

// startGateways starts a gateway in each zone, on a loopback address of its own, and waits until they are ready.
func (c *config) startGateways(zones ...string) error {
	for i, zone := range zones {
		front, err := c.store.front()
		if err != nil {
			return err
		}
		g, err := newGateway(c.binary, c.temp, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, loopback(i+11), front, c.cloud)
		if err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
		c.gateways = append(c.gateways, g)
	}
	for _, g := range c.gateways {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

var cases = map[string]func(*config) (bool, error){
	"drain": runDrain,
	"order": runOrder,
	"path":  runPath,
	"twice": runTwice,
	"whole": runWhole,
}

func main() {
	dir := flag.String("dir", ".", "folder of record.txt")
	binary := flag.String("gateway", "target/apricotbridge-gateway", "the gateway's program")
	keep := flag.String("keep", "", "folder for the logs of the gateways; empty: a temporary one that is removed")
	flag.Parse()
	os.Exit(play(flag.Arg(0), *dir, *binary, *keep))
}

func play(name, dir, binary, keep string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	rec, err := newRecorder(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c := &config{rec: rec, trouble: os.Getenv("TROUBLE") != "0", binary: binary, temp: keep}
	if keep == "" {
		if c.temp, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(c.temp) }()
	}
	broken, err := func() (bool, error) {
		if c.store, err = newStore(); err != nil {
			return false, err
		}
		defer func() {
			for _, g := range c.gateways {
				g.stop()
			}
		}()
		return run(c)
	}()
	if err != nil {
		rec.note("could not run: %v", err)
	}
	if e := rec.close(); err == nil {
		err = e
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
