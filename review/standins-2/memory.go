package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// residentBytes returns the memory of a process.
func (r *relay) residentBytes() int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// watchMemory kills the relay when it exceeds the memory of its machine, as DEPLOY.md says, and
// returns its largest memory and whether it has ended. Memory is counted in MiB here, which is
// more than the page grants.
func (f *fleet) watchMemory(r *record, watched *relay, until time.Time) (peak int64, ended bool) {
	limit := int64(f.memoryMB) << 20
	for time.Now().Before(until) {
		if watched.hasEnded() {
			r.write("%s has ended by itself", watched.name)
			return peak, true
		}
		resident := watched.residentBytes()
		peak = max(peak, resident)
		if resident > limit {
			r.write("%s takes %d MB of the %d MB of its machine and is killed for that", watched.name, resident/1_000_000, f.memoryMB)
			watched.kill()
			return peak, true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return peak, false
}
