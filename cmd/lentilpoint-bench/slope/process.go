package slope

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

// hostProcess is an entry host in a separate process, so that its CPU time and memory
// are measured without those of the stand-ins.
type hostProcess struct {
	command *exec.Cmd
	url     string
}

// startHostProcess starts an entry host with this program's entry-host command and
// waits until it is ready.
func startHostProcess(ctx context.Context, platformURL string, seed uint64) (*hostProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	address, err := standin.FreeAddress()
	if err != nil {
		return nil, err
	}
	command := exec.CommandContext(ctx, program, "entry-host",
		"--host-id", "entry-0", "--data-centre", "jkt", "--caller-address", address, "--platform-url", platformURL,
		"--log-level", "error", "--random-seed", strconv.FormatUint(seed, 10), "--drain-timeout", "5s")
	command.Stderr = os.Stderr
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGTERM) }
	command.WaitDelay = 10 * time.Second
	if err := command.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	process := &hostProcess{command: command, url: "http://" + address}
	return process, process.waitReady(ctx)
}

// withHostProcess starts a cluster without entry hosts and one entry host in a separate
// process, calls measure and stops both.
func withHostProcess(ctx context.Context, options cluster.Options, measure func(ctx context.Context, process *hostProcess) (map[string]float64, error)) (map[string]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := cluster.Start(ctx, options)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	process, err := startHostProcess(ctx, c.Platform.URL(), options.Seed)
	if err != nil {
		return nil, err
	}
	defer process.stop()
	return measure(ctx, process)
}

// readyTimeout limits the start of an entry host process.
const readyTimeout = 10 * time.Second

func (p *hostProcess) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		response, err := http.Get(p.url + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return Error.New("the entry host process is not ready after %s", readyTimeout)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// stop sends SIGTERM to the process and waits until it has exited.
func (p *hostProcess) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	_ = p.command.Wait()
}

// metric reads a metric of the process. It returns 0 if there is none with the name.
func (p *hostProcess) metric(name string) (float64, error) {
	response, err := http.Get(p.url + "/metrics")
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		value, found := strings.CutPrefix(lines.Text(), name+" ")
		if !found {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		return number, Error.Wrap(err)
	}
	return 0, Error.Wrap(lines.Err())
}
