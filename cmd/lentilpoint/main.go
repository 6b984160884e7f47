// Command lentilpoint is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint/commands"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := commands.Run(ctx, os.Args[1:], commands.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, LookupEnvironment: os.LookupEnv})
	stop()
	os.Exit(code)
}
