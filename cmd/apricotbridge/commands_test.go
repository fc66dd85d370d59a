package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"apricotbridge/internal/entry"
	"apricotbridge/internal/instances"
	"apricotbridge/internal/operations"
	"apricotbridge/internal/settings"
	"apricotbridge/internal/standin"
)

// command runs a command in this process and returns its output and exit code.
func command(t *testing.T, args ...string) (output string, code int) {
	t.Helper()
	root := newRoot()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	addCompletion(root)
	err := root.ExecuteContext(t.Context())
	if err != nil {
		out.WriteString(err.Error())
		code = exitCode(err)
	}
	return out.String(), code
}

const sampleFile = "../../samples/shrestha.jsonc"

// TestCommands guards against wrong exit codes and against faults that are printed
// without file, line and column.
func TestCommands(t *testing.T) {
	keyValue := standin.NewKeyValue(1)
	service := httptest.NewServer(keyValue.Handler())
	defer service.Close()
	closedServer := httptest.NewServer(nil)
	closedServer.Close()
	changed := filepath.Join(t.TempDir(), "changed.jsonc")
	text, err := os.ReadFile(sampleFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(changed, bytes.Replace(text, []byte(`"Weight": 4`), []byte(`"Weight": 5`), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	broken := "../../pkg/config/testdata/tokens.jsonc"
	for _, c := range []struct {
		name, args string
		faults     standin.KeyValueFaults
		code       int
		want       string
	}{
		{name: "check samples", args: "check " + sampleFile + " ../../samples/settings.jsonc"},
		{name: "check faults", args: "check " + broken, code: 1, want: broken + ":20:56: Organisations[1].TokenHashes[0]: token hash is already used"},
		{name: "check as another kind", args: "check --kind settings " + sampleFile, code: 1, want: "CallerListen: is required"},
		{name: "check unknown kind", args: "check --kind x " + sampleFile, code: 2, want: `kind "x" is neither`},
		{name: "check unrecognised file", args: "check " + filepath.Join("testdata", "neither.jsonc"), code: 1, want: "name the kind"},
		{name: "check missing file", args: "check missing.jsonc", code: 1},
		{name: "check without a file", args: "check", code: 2},
		{name: "apply without a service", args: "apply " + sampleFile, code: 2, want: "key-value"},
		{name: "apply faults", args: "apply --key-value " + service.URL + " " + broken, code: 1, want: "already used by organisation"},
		{name: "apply in an outage", args: "apply --within 200ms --key-value " + service.URL + " " + sampleFile, faults: standin.KeyValueFaults{Down: true}, code: 3},
		{name: "apply to a closed port", args: "apply --within 200ms --key-value " + closedServer.URL + " " + sampleFile, code: 3},
		{name: "apply with the answer lost", args: "apply --key-value " + service.URL + " " + sampleFile, faults: standin.KeyValueFaults{LoseAnswers: 1}, want: "applied as revision 1 after revision 0; the answer was lost"},
		{name: "apply again", args: "apply --expect 0 --key-value " + service.URL + " " + sampleFile, want: "unchanged"},
		{name: "apply on another revision", args: "apply --expect 7 --key-value " + service.URL + " " + changed, code: 1, want: `-    {"Name": "summit-hotels", "Weight": 4`},
		{name: "apply on the right revision", args: "apply --expect 1 --key-value " + service.URL + " " + changed, want: "applied as revision 2 after revision 1"},
		{name: "show without daemons", args: "show --key-value " + service.URL, code: 3, want: "stored configuration: revision 2"},
		{name: "show in an outage", args: "show --key-value " + service.URL, faults: standin.KeyValueFaults{Down: true}, code: 3},
		{name: "show with an unknown output", args: "show --output x --key-value " + service.URL, code: 2, want: "neither json nor table"},
		{name: "drain a closed port", args: "drain " + strings.TrimPrefix(closedServer.URL, "http://"), code: 3},
		{name: "drain without an address", args: "drain", code: 2},
		{name: "request to a closed port", args: "request --within 200ms --token t --model m --entry " + strings.TrimPrefix(closedServer.URL, "http://"), code: 3, want: "connection refused"},
		{name: "request without a model or service", args: "request --entry 127.0.0.1:1", code: 2, want: "either --model or --service"},
		{name: "request with a model and a service", args: "request --entry 127.0.0.1:1 --model m --service s", code: 2},
		{name: "version", args: "version", want: "apricotbridge "},
		{name: "completion", args: "completion bash", want: "__start_apricotbridge"},
	} {
		t.Run(c.name, func(t *testing.T) {
			keyValue.SetFaults(c.faults)
			defer keyValue.SetFaults(standin.KeyValueFaults{})
			output, code := command(t, strings.Fields(c.args)...)
			if code != c.code || !strings.Contains(output, c.want) {
				t.Errorf("exit code %d; want %d with %q:\n%s", code, c.code, c.want, output)
			}
		})
	}
}

// TestHelpHasExamples guards against commands whose help has no example.
func TestHelpHasExamples(t *testing.T) {
	var visit func(c *cobra.Command)
	visit = func(c *cobra.Command) {
		if c.Example == "" {
			t.Errorf("%s has no example", c.CommandPath())
		}
		for _, sub := range c.Commands() {
			visit(sub)
		}
	}
	root := newRoot()
	addCompletion(root)
	visit(root)
}

// deployment is a daemon with stand-ins of its key-value service, instance list and
// backend servers.
type deployment struct {
	// keyValue is the base URL of the key-value service.
	keyValue string
	daemon   *entry.Daemon
	engine   *standin.Engine
	// runs are the runs of the order service.
	runs *standin.RunLog
	// runResult gets the result of daemon.Run.
	runResult chan error
}

// deploy applies the sample configuration and starts a daemon.
func deploy(t *testing.T) *deployment {
	t.Helper()
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return s.URL
	}
	d := &deployment{
		engine: &standin.Engine{Slots: 4, TokenTime: time.Millisecond, CacheTokens: 1 << 12}, runs: &standin.RunLog{}, runResult: make(chan error, 1),
	}
	d.keyValue = serve(standin.NewKeyValue(1).Handler())
	list := standin.NewInstances()
	for name, h := range map[string]http.Handler{"sahayak-llm": d.engine.Handler(), "khata-app": (&standin.Service{Runs: d.runs}).Handler()} {
		list.Put(instances.Instance{
			ID: name + "-1", Address: strings.TrimPrefix(serve(h), "http://"), Incarnation: 1,
			Service: name, Place: "asan", Region: "bagmati", Class: "small", State: instances.Live,
		})
	}
	if output, code := command(t, "apply", "--key-value", d.keyValue, sampleFile); code != 0 {
		t.Fatalf("apply exits with %d: %s", code, output)
	}
	d.daemon = entry.New(&settings.Settings{
		Daemon: "asan-1", Region: "bagmati", Place: "asan", CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OperatorToken: "secret",
		KeyValue: settings.Remote{Address: d.keyValue}, InstanceList: settings.Remote{Address: serve(list.Handler())},
	}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { d.runResult <- d.daemon.Run(ctx) }()
	t.Cleanup(cancel)
	<-d.daemon.Ready()
	return d
}

// waitForOverview polls the overview until it contains the daemon with its
// configuration and both backend servers.
func (d *deployment) waitForOverview(t *testing.T) operations.Overview {
	t.Helper()
	for t.Context().Err() == nil {
		output, code := command(t, "show", "--key-value", d.keyValue, "--token", "secret", "--output", "json")
		var o operations.Overview
		if code == 0 && json.Unmarshal([]byte(output), &o) == nil && o.Daemons[0].Status != nil &&
			o.Daemons[0].Status.Revision > 0 && len(o.Daemons[0].Status.Servers) == 2 {
			return o
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the daemon does not show its configuration and servers")
	return operations.Overview{}
}

// TestShowAndDrain guards against a show without the status of a daemon and a drain
// that does not end the daemon.
func TestShowAndDrain(t *testing.T) {
	d := deploy(t)
	o := d.waitForOverview(t)
	if got := o.Daemons[0].Status; got.Daemon != "asan-1" || got.Place != "asan" || got.Revision != o.StoredRevision {
		t.Errorf("status is %+v with revision %d stored", got, o.StoredRevision)
	}
	operator := d.daemon.OperatorAddress()
	output, code := command(t, "show", "--operator", operator, "--token", "secret")
	if code != 0 || !strings.Contains(output, "khata-app-1") || !strings.Contains(output, "asan-1") {
		t.Errorf("show exits with %d:\n%s", code, output)
	}
	if output, code = command(t, "show", "--operator", operator, "--token", "wrong"); code != 3 || !strings.Contains(output, "does not accept the operator token") {
		t.Errorf("show with a wrong token exits with %d:\n%s", code, output)
	}
	if output, code = command(t, "drain", operator, "--within", "5s"); code != 1 {
		t.Errorf("drain without a token exits with %d:\n%s", code, output)
	}
	t.Setenv(operatorTokenVariable, "secret")
	if output, code = command(t, "drain", operator, "--within", "5s"); code != 0 || !strings.Contains(output, "asan-1 is draining") {
		t.Errorf("drain exits with %d:\n%s", code, output)
	}
	if err := <-d.runResult; err != nil {
		t.Errorf("the drained daemon ends with %v", err)
	}
}

// TestRequest guards against wrong answers through a daemon, and against exit codes
// from which a script can't decide whether to send a request again.
func TestRequest(t *testing.T) {
	d := deploy(t)
	d.waitForOverview(t)
	t.Setenv(callerTokenVariable, "counter-token")
	for _, c := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{name: "prompt", args: []string{"--model", "sahayak-llm", "--prompt", "a b c", "--max-tokens", "5"}},
		{name: "stream", args: []string{"--model", "sahayak-small", "--prompt", "a b c", "--max-tokens", "5", "--stream", "--output", "json"}, want: `"Tokens": 5`},
		{name: "async", args: []string{"--model", "sahayak-llm", "--prompt", "a b c", "--max-tokens", "5", "--async", "--output", "json"}, want: `"Finish"`},
		{name: "order", args: []string{"--service", "khata-app", "--path", "/orders", "--data", `{"Item": "sukuti"}`, "--key", "order-17"}, want: "201 Created"},
		{name: "read", args: []string{"--service", "khata-app", "--path", "/catalogue", "--output", "json"}, want: `"Status": 200`},
		{name: "unknown model", args: []string{"--model", "none", "--prompt", "a"}, code: 1, want: "UnknownModel"},
		{name: "unknown rank", args: []string{"--model", "sahayak-llm", "--prompt", "a", "--rank", "none"}, code: 1, want: "BadRequest"},
		{name: "unknown token", args: []string{"--token", "x", "--model", "sahayak-llm", "--prompt", "a"}, code: 1, want: "Unauthorized"},
	} {
		t.Run(c.name, func(t *testing.T) {
			output, code := command(t, append([]string{"request", "--entry", d.daemon.CallerAddress()}, c.args...)...)
			if code != c.code || output == "" || !strings.Contains(output, c.want) {
				t.Errorf("exit code %d; want %d with %q:\n%s", code, c.code, c.want, output)
			}
		})
	}
	if runs := d.runs.All(); len(runs) != 1 || runs[0].Key != "order-17" {
		t.Errorf("the order service ran %+v; want one order", runs)
	}
}
