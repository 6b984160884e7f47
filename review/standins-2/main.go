// Command standins runs the scripts of the second review: a stand-in of the platform's store,
// of servers and of clients, before relays that run as processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// exit codes of a script.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
)

// maxScriptTime is the longest time that a script may take.
const maxScriptTime = 115 * time.Second

// record is the file record.txt of a case.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, started: time.Now()}, err
}

// write adds a line with the time since the start.
func (r *record) write(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// writeFile adds a line to the file only.
func (r *record) writeFile(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, format+"\n", values...)
}

// scenario is a script. Trouble is false for the run without the disruption.
type scenario func(folder string, r *record, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins SCENARIO FOLDER")
		os.Exit(exitUnusable)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	work, err := os.MkdirTemp("", "review-")
	if err != nil {
		r.write("cannot run: %v", err)
		return exitUnusable
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(work) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs in", work)
	}
	// A script that takes too long, or is told to end, ends the processes that it started.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			r.write("the script was told to end")
		case <-time.After(maxScriptTime):
			r.write("the script took longer than %v", maxScriptTime)
		}
		killStarted()
		os.Exit(exitUnusable)
	}()
	broken, err := scenarios[name](work, r, os.Getenv("TROUBLE") != "0")
	killStarted()
	switch {
	case err != nil:
		r.write("the case could not run: %v", err)
		return exitUnusable
	case broken:
		r.write("the rule was broken")
		return exitBroken
	}
	r.write("the rule held")
	return exitHeld
}
