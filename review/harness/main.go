// Command cases runs the scripts of this review: relays as separate processes, with
// stand-ins of the platform's store, servers and clients. It exits with 1 if the rule
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases maps the names of the cases to their functions, which return the findings.
var cases = map[string]func(*world) []string{
	"exposure-next-order": exposureNextOrder,
	"exposure-small-part": exposureSmallPart,
	"config-reader-cut":   configReaderCut,
	"drain-says-leaving":  drainSaysLeaving,
	"budget-same-id":      budgetSameID,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*world) []string, record string) (status int) {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	out := bufio.NewWriter(file)
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{store: newStore(), began: time.Now(), record: out, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	defer func() {
		w.end()
		failure := recover()
		if reason, stopped := failure.(errNotRun); stopped {
			w.note("the case could not run: %s", reason.reason)
			fmt.Println("could not run:", reason.reason)
			status = 2
		} else if failure != nil {
			panic(failure)
		}
		w.mu.Lock()
		_ = out.Flush()
		w.mu.Unlock()
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-stop; w.end(); os.Exit(2) }()
	time.AfterFunc(115*time.Second, func() { w.end(); os.Exit(2) })
	findings := play(w)
	for _, finding := range findings {
		w.note("BROKEN %s", finding)
		fmt.Println("broken:", finding)
	}
	if len(findings) > 0 {
		return 1
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
