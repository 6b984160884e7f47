package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/platform"
)

// relayProcess is one host's daemon, run by its relay command. The soak's task starts
// it and sends signals to its process id.
type relayProcess struct {
	name         string
	zone         string
	frontAddress string
	readyAddress string
	settingsFile string
	settings     settingsValues
	daemonPath   string
	log          io.Writer

	command *exec.Cmd
	// exited is closed when the current process has exited.
	exited chan struct{}
	// startup is that of the current process.
	startup startup
	// stoppedAt is when this process was sent a SIGTERM, or the zero time.
	stoppedAt time.Time
	// killed reports whether this process was sent a SIGKILL.
	killed bool
}

// settingsValues are the values of a settings file.
type settingsValues struct {
	name, zone, ip, metricsPort, seedAddress, frontAddress, readyAddress, peerAddress, storeAddress string
	budgetExtra                                                                                     int
}

const settingsTemplate = `node_name = %q
zone = %q
ip = %q
internal_ports = [%s, %s]
seeds = [%q]
[listen]
front = %q
ready = %q
control = %q
[bounds]
grace_s = %d
retry_budget_ratio = 0.8
budget_window_s = 10
budget_extra = %d
expose_share = 0.1
expose_slack = 50
[platform]
address = %q
`

// graceSeconds is the time in seconds in which a host must stop after SIGTERM.
const graceSeconds = 8

// processIP returns the loopback address of the hosts of the soak with the process id.
// Soaks at the same time that shared an address have taken each other's ports while a
// host restarted (seed 102 beside two others), and then callers reached another soak.
func processIP(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16%254, pid>>8%256, pid%256)
}

// newRelayProcess writes the settings file of a relay that uses the store at
// storeAddress, and returns the relay and its peer address. An empty seedAddress makes
// the relay its own seed.
func newRelayProcess(directory, daemonPath, name, zone, storeAddress, seedAddress string, log io.Writer) (*relayProcess, string, error) {
	ip := processIP(os.Getpid())
	var addresses [4]string
	for i := range addresses {
		address, err := standin.FreeAddressAt(ip)
		if err != nil {
			return nil, "", err
		}
		addresses[i] = address
	}
	h := &relayProcess{name: name, zone: zone, frontAddress: addresses[0], readyAddress: addresses[1], daemonPath: daemonPath, log: log,
		settingsFile: filepath.Join(directory, name+".toml")}
	peerAddress := addresses[2]
	if seedAddress == "" {
		seedAddress = peerAddress
	}
	_, metricsPort, err := net.SplitHostPort(addresses[3])
	if err != nil {
		return nil, "", Error.Wrap(err)
	}
	h.settings = settingsValues{name: name, zone: zone, ip: ip, metricsPort: metricsPort, seedAddress: seedAddress, frontAddress: h.frontAddress,
		readyAddress: h.readyAddress, peerAddress: peerAddress, storeAddress: storeAddress, budgetExtra: 150}
	return h, peerAddress, h.writeSettings()
}

// writeSettings replaces the settings file.
func (h *relayProcess) writeSettings() error {
	v := h.settings
	content := fmt.Sprintf(settingsTemplate, v.name, v.zone, v.ip, v.metricsPort, v.metricsPort, v.seedAddress, v.frontAddress, v.readyAddress, v.peerAddress, graceSeconds, v.budgetExtra, v.storeAddress)
	next := h.settingsFile + ".next"
	if err := os.WriteFile(next, []byte(content), 0o600); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.Rename(next, h.settingsFile))
}

// start starts the daemon as a separate process.
func (h *relayProcess) start(ctx context.Context) error {
	h.command = exec.CommandContext(ctx, h.daemonPath, "relay")
	h.command.Env = []string{platform.SettingsVariable + "=" + h.settingsFile, "PATH=" + os.Getenv("PATH")}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	if err := h.command.Start(); err != nil {
		return Error.Wrap(err)
	}
	h.startup, h.stoppedAt, h.killed = beginStartup(time.Now()), time.Time{}, false
	exited, command := make(chan struct{}), h.command
	h.exited = exited
	go func() {
		// The exit status is not needed; running and stop observe exited.
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (h *relayProcess) signal(signal syscall.Signal) error {
	switch {
	case signal == syscall.SIGTERM && h.stoppedAt.IsZero():
		h.stoppedAt = time.Now()
	case signal == syscall.SIGKILL:
		h.killed = true
	case signal == syscall.SIGSTOP:
		h.startup = h.startup.paused(time.Now())
	case signal == syscall.SIGCONT:
		h.startup = h.startup.resumed(time.Now())
	}
	if err := h.command.Process.Signal(signal); !errors.Is(err, os.ErrProcessDone) {
		return Error.Wrap(err)
	}
	// The process has exited since the soak last looked; it is restarted at the next step.
	return nil
}

// running reports whether the process has not exited.
func (h *relayProcess) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// stop kills the process, also if it is paused, and waits until it has exited.
func (h *relayProcess) stop() {
	if h.command == nil || !h.running() {
		return
	}
	_ = h.command.Process.Signal(syscall.SIGCONT)
	_ = h.command.Process.Kill()
	<-h.exited
}
