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

// processes starts daemons and stand-ins as processes that end with the test.
type processes struct {
	t *testing.T
	// binary is the path of the built program.
	binary string
	dir    string
	// instanceListURL and keyValueURL are base URLs.
	instanceListURL string
	keyValueURL     string
	// extraSettings holds additional settings of all daemons.
	extraSettings map[string]any
}

// process is one started program.
type process struct {
	command *exec.Cmd
	// addresses are the listen addresses that the process prints on its first line.
	// A daemon prints those for callers and operators.
	addresses []string
	log       *os.File
}

// newProcesses builds the program, starts the key-value service and the instance
// list and stores the configuration.
func newProcesses(t *testing.T, configuration []byte) *processes {
	t.Helper()
	p := &processes{t: t, dir: t.TempDir()}
	p.binary = filepath.Join(p.dir, "apricotbridge")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", p.binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	p.keyValueURL = "http://" + p.start("standin", "key-value").addresses[0]
	p.instanceListURL = "http://" + p.start("standin", "instances").addresses[0]
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, p.keyValueURL+"/v1/kv/config?revision=0", bytes.NewReader(configuration))
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
	started := &process{command: exec.Command(p.binary, args...)} //nolint:gosec // The test built the binary.
	log, err := os.CreateTemp(p.dir, "log")
	if err != nil {
		p.t.Fatal(err)
	}
	started.log, started.command.Stderr = log, log
	out, err := started.command.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := started.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		_ = started.command.Process.Kill() // The process may have ended.
		_ = started.command.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		p.t.Fatalf("%v: no address: %v\n%s", args, err, started.output())
	}
	started.addresses = strings.Fields(line)
	return started
}

// output returns the log that the process has written so far.
func (r *process) output() string {
	text, err := os.ReadFile(r.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// backend starts a backend server that registers itself in the instance list.
func (p *processes) backend(kind, id, service, place, region string) *process {
	return p.start("standin", kind, "--id", id, "--service", service, "--place", place, "--region", region,
		"--class", map[string]string{"engine": "accelerator-8", "service": "small"}[kind], "--instances", p.instanceListURL)
}

// serve starts a daemon with the given id.
func (p *processes) serve(id, place, region string) *process {
	p.t.Helper()
	settings := map[string]any{
		"Daemon": id, "Place": place, "Region": region, "CallerListen": "127.0.0.1:0", "PeerListen": "127.0.0.1:0",
		"KeyValue": map[string]string{"Address": p.keyValueURL}, "InstanceList": map[string]string{"Address": p.instanceListURL},
	}
	maps.Copy(settings, p.extraSettings)
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

// httpCall sends a request and returns the status and the body.
func httpCall(ctx context.Context, address, token, method, path, key, body string) (int, string, error) {
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

// eventually repeats a check until it returns true, for at most 30 seconds.
func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("not within 30 s: %s", condition)
}

// Guards against a deployment that does not start or serve as separate processes:
// six daemons, with an engine and a plain service in each of three places.
func TestDeploymentsAsProcesses(t *testing.T) {
	for _, c := range []struct {
		name, model, service, token string
		configuration               []byte
		places                      [][2]string
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
			var daemons []*process
			for i, place := range c.places {
				p.backend("engine", fmt.Sprintf("engine-%d", i), c.model, place[0], place[1])
				p.backend("service", fmt.Sprintf("plain-%d", i), c.service, place[0], place[1])
				for j := range 2 {
					daemons = append(daemons, p.serve(fmt.Sprintf("%s-%d", place[0], j), place[0], place[1]))
				}
			}
			for i, daemon := range daemons {
				address := daemon.addresses[0]
				eventually(t, "entry serves the plain service", func() bool {
					status, _, err := httpCall(t.Context(), address, c.token, "GET", "/services/"+c.service+"/catalogue", "", "")
					return err == nil && status == http.StatusOK
				})
				body := fmt.Sprintf(`{"model":%q,"prompt":"p%d","max_tokens":5}`, c.model, i)
				status, answer, err := httpCall(t.Context(), address, c.token, "POST", "/v1/completions", "", body)
				want := ""
				for n := 1; n <= 5; n++ {
					want += standin.TokenText(fmt.Sprintf("p%d", i), n)
				}
				if err != nil || status != http.StatusOK || !strings.Contains(answer, want) {
					t.Errorf("completion at %s: %v, status %d, %s", address, err, status, answer)
				}
				// The shard may not have a holder yet; the order is then refused as not
				// run with status 503.
				eventually(t, "order at "+address, func() bool {
					status, answer, err = httpCall(t.Context(), address, c.token, "POST", "/services/"+c.service+"/orders", fmt.Sprintf("key-%d", i), "order")
					if err != nil || status != http.StatusCreated && status != http.StatusServiceUnavailable {
						t.Fatalf("order at %s: %v, status %d, %s", address, err, status, answer)
					}
					return status == http.StatusCreated
				})
			}
			if err := daemons[0].command.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := daemons[0].command.Wait(); err != nil {
				t.Errorf("drain by SIGTERM: %v\n%s", err, daemons[0].output())
			}
		})
	}
}
