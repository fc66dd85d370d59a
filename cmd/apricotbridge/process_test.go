package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"apricotbridge/internal/standin"
	"apricotbridge/samples"
)

// processes are the programs that a test started; they end with the test.
type processes struct {
	t      *testing.T
	binary string
	dir    string
	list   string
	kv     string
	// more are settings of all daemons.
	more map[string]any
}

// process is one started program.
type process struct {
	command *exec.Cmd
	// addresses are those of its first line of output.
	addresses []string
	log       *os.File
}

// newProcesses builds the program and starts the stand-ins of the platform.
func newProcesses(t *testing.T, configuration []byte) *processes {
	t.Helper()
	p := &processes{t: t, dir: t.TempDir()}
	p.binary = filepath.Join(p.dir, "apricotbridge")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", p.binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	p.kv = "http://" + p.start("standin", "key-value").addresses[0]
	p.list = "http://" + p.start("standin", "instances").addresses[0]
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, p.kv+"/v1/kv/config?revision=0", bytes.NewReader(configuration))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	return p
}

// start runs the program until the end of the test and waits for its addresses.
func (p *processes) start(args ...string) *process {
	p.t.Helper()
	run := &process{command: exec.Command(p.binary, args...)} //nolint:gosec // The test built it.
	log, err := os.CreateTemp(p.dir, "log")
	if err != nil {
		p.t.Fatal(err)
	}
	run.log, run.command.Stderr = log, log
	out, err := run.command.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := run.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		_ = run.command.Process.Kill() // It may have ended.
		_ = run.command.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		p.t.Fatalf("%v: no address: %v\n%s", args, err, run.output())
	}
	run.addresses = strings.Fields(line)
	return run
}

// output returns the log of a process.
func (r *process) output() string {
	text, err := os.ReadFile(r.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// backend starts a backend server that enters itself in the instance list.
func (p *processes) backend(kind, id, service, place, region string) *process {
	return p.start("standin", kind, "--id", id, "--service", service, "--place", place, "--region", region,
		"--class", map[string]string{"engine": "accelerator-8", "service": "small"}[kind], "--instances", p.list)
}

// serve starts a daemon.
func (p *processes) serve(id, place, region string) *process {
	p.t.Helper()
	settings := map[string]any{
		"Daemon": id, "Place": place, "Region": region, "CallerListen": "127.0.0.1:0", "PeerListen": "127.0.0.1:0",
		"KeyValue": map[string]string{"Address": p.kv}, "InstanceList": map[string]string{"Address": p.list},
	}
	maps.Copy(settings, p.more)
	text, err := json.Marshal(settings)
	if err != nil {
		p.t.Fatal(err)
	}
	file := filepath.Join(p.dir, id+".jsonc")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		p.t.Fatal(err)
	}
	return p.start("serve", "--settings", file)
}

// call sends a request and returns the status and the body.
func call(ctx context.Context, address, token, method, path, key, body string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}

// eventually repeats a check until it holds.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

// Guards against a deployment of the brief that does not start as separate
// processes: six daemons, engines and plain services in three places.
func TestDeploymentsAsProcesses(t *testing.T) {
	for _, c := range []struct {
		name, model, plain, token string
		configuration             []byte
		places                    [][2]string
	}{
		{
			"shrestha", "sahayak-llm", "khata-app", "counter-token", samples.Shrestha,
			[][2]string{{"asan", "bagmati"}, {"bhaktapur", "bagmati"}, {"lakeside", "gandaki"}},
		},
		{
			"saaremaa", "kirjutaja", "tellimus", "wholesale-token", samples.Saaremaa,
			[][2]string{{"kuressaare", "saare"}, {"orissaare", "saare"}, {"ulemiste", "harju"}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newProcesses(t, c.configuration)
			var entries []*process
			for i, place := range c.places {
				p.backend("engine", fmt.Sprintf("engine-%d", i), c.model, place[0], place[1])
				p.backend("service", fmt.Sprintf("plain-%d", i), c.plain, place[0], place[1])
				for j := range 2 {
					entries = append(entries, p.serve(fmt.Sprintf("%s-%d", place[0], j), place[0], place[1]))
				}
			}
			for i, e := range entries {
				address := e.addresses[0]
				eventually(t, "entry serves the plain service", func() bool {
					status, _, err := call(t.Context(), address, c.token, "GET", "/services/"+c.plain+"/catalogue", "", "")
					return err == nil && status == http.StatusOK
				})
				body := fmt.Sprintf(`{"model":%q,"prompt":"p%d","max_tokens":5}`, c.model, i)
				status, answer, err := call(t.Context(), address, c.token, "POST", "/v1/completions", "", body)
				want := ""
				for n := 1; n <= 5; n++ {
					want += standin.Completion(fmt.Sprintf("p%d", i), n)
				}
				if err != nil || status != http.StatusOK || !strings.Contains(answer, want) {
					t.Errorf("completion at %s: %v, status %d, %s", address, err, status, answer)
				}
				// A shard may still be on its way to its first holder; the answer then
				// says that the order was not run and to come back.
				eventually(t, "order at "+address, func() bool {
					status, answer, err = call(t.Context(), address, c.token, "POST", "/services/"+c.plain+"/orders", fmt.Sprintf("key-%d", i), "order")
					if err != nil || status != http.StatusCreated && status != http.StatusServiceUnavailable {
						t.Fatalf("order at %s: %v, status %d, %s", address, err, status, answer)
					}
					return status == http.StatusCreated
				})
			}
			if err := entries[0].command.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := entries[0].command.Wait(); err != nil {
				t.Errorf("drain by SIGTERM: %v\n%s", err, entries[0].output())
			}
		})
	}
}
