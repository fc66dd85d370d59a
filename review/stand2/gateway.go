package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is a process of the system.
type gateway struct {
	name, zone                    string
	callers, readiness, resolve   string
	settings                      string
	log                           *os.File
	cmd                           *exec.Cmd
	done                          chan struct{}
	binary, host, control, region string
	firstPort                     int
	// storeAddress is the address of the store for this machine only.
	storeAddress string
}

// loopback returns a loopback address that no other run uses at the same time.
func loopback(last int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, 1+pid/128%250, last)
}

// freePorts returns n consecutive free ports on a host.
func freePorts(host string, n int) (int, error) {
	for range 100 {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return 0, err
		}
		first := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := first+n < 65536
		for p := first; free && p < first+n; p++ {
			l, err := net.Listen("tcp", net.JoinHostPort(host, fmt.Sprint(p)))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d consecutive ports on %s", n, host)
}

// regions of the zones, those of the first small deployment.
var regions = map[string]string{"kuressaare": "saare", "orissaare": "saare", "ulemiste": "harju"}

// newGateway writes the settings of a gateway on a loopback address. The bounds are those of the first
// small deployment.
func newGateway(binary, dir, name, zone, host, storeAddress, cloudAddress string) (*gateway, error) {
	first, err := freePorts(host, 6)
	if err != nil {
		return nil, err
	}
	at := func(k int) string { return net.JoinHostPort(host, fmt.Sprint(first+k)) }
	g := &gateway{
		name: name, zone: zone, region: regions[zone], callers: at(0), readiness: at(1), resolve: at(2), control: at(3),
		firstPort: first + 4, host: host, binary: binary, storeAddress: storeAddress, settings: filepath.Join(dir, name+".conf"),
	}
	lines := []string{
		"nodeName=" + name, "role=gateway", "machineClass=edge", "serves=edge,registry", "ip=" + host, "zone=" + zone, "region=" + regions[zone],
		"listen.frontend=" + g.callers, "listen.readiness=" + g.readiness, "listen.controlPlane=" + g.control, "listen.registry=" + g.resolve,
		fmt.Sprintf("portRange=%d,%d", g.firstPort, g.firstPort+1), "seeds=" + g.control, "bootstrap=true", "countsAsLoss=false",
		"limits.cpuQuota=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.bandwidthMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=registry", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,platform",
		"faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=4000", "bounds.ackMs=5000", "bounds.catchUpS=4", "bounds.drainMs=2500",
		"bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2500", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=6000",
		"bounds.revokeFailClosed=false", "bounds.revokeMs=5000", "bounds.retryBudgetRatio=0.2", "bounds.retryWindowS=10", "bounds.budgetSlack=52",
		"bounds.quotaWindowS=8", "bounds.quotaOverrun=0.1", "bounds.quotaSlack=190000", "bounds.fencingEnforced=false", "bounds.leaseMs=3000",
		"bounds.thawMs=300", "bounds.windowS=5", "bounds.usageOff=0.05", "bounds.usageLateS=10", "bounds.recoverS=12",
		"bounds.deliveryLagMs=250", "bounds.retryAfterS=10", "bounds.ttl_max_s=5",
		"platform.address=" + storeAddress, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
		"platform.valueBytes=1048576", "platform.ttlMinMs=1000",
	}
	if cloudAddress != "" {
		lines = append(lines, "cloud.address="+cloudAddress, "cloud.ratePerS=50.0", "cloud.duties=usage,scaling", "cloud.dutiesPerS=50.0")
	}
	for z, r := range regions {
		lines = append(lines, "zones."+z+"="+r)
	}
	return g, os.WriteFile(g.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the process. Its output goes to a file beside its settings.
func (g *gateway) start() error {
	var err error
	if g.log, err = os.OpenFile(g.settings+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), g.binary, "serve") //nolint:gosec // The program under test.
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "APRICOTBRIDGE_SETTINGS=" + g.settings}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.cmd, g.done = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait() // A killed process ends with an error.
		close(g.done)
	}()
	return nil
}

// stop kills the process and waits for its end.
func (g *gateway) stop() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Kill() // May have ended.
	<-g.done
	_ = g.log.Close()
}

// awaitReady waits until the platform's check succeeds.
func (g *gateway) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + g.readiness + "/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.name, timeout)
}
