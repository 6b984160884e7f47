package main

import (
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/soak"
)

// soakCommand returns the command that runs soaks.
func soakCommand() *cobra.Command {
	options := soak.Options{Log: io.Discard}
	var seeds int
	var logFile string
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run the daemon as processes, inject faults from outside and check the promises",
		Args:  cobra.NoArgs,
		Example: "  go build -o /tmp/lentilpointd ./cmd/lentilpointd\n" +
			"  lentilpoint-bench soak --daemon /tmp/lentilpointd --seed 1 --seeds 50",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if logFile != "" {
				file, err := os.Create(logFile)
				if err != nil {
					return err
				}
				defer func() { _ = file.Close() }()
				options.Log = file
			}
			return runSoaks(cmd, options, seeds)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Daemon, "daemon", "", "path of the daemon's program")
	flags.Uint64Var(&options.Seed, "seed", 1, "first seed")
	flags.IntVar(&seeds, "seeds", 1, "number of seeds, one after another")
	flags.DurationVar(&options.Duration, "duration", 8*time.Second, "time with faults for each seed")
	flags.IntVar(&options.Hosts, "hosts", 4, "relay processes")
	flags.IntVar(&options.Callers, "callers", 12, "callers that send one request after another")
	flags.StringVar(&logFile, "log", "", "file that receives the log lines of all processes")
	_ = command.MarkFlagRequired("daemon")
	return command
}

// runSoaks runs one soak for each seed and prints its findings as a JSON line.
func runSoaks(cmd *cobra.Command, options soak.Options, seeds int) error {
	// An interrupt cancels the context, so that the soak ends the processes that it
	// started.
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	output := json.NewEncoder(cmd.OutOrStdout())
	violated := false
	for range seeds {
		findings, err := soak.Run(ctx, options)
		if err != nil {
			return err
		}
		if err := output.Encode(findings); err != nil {
			return err
		}
		violated = violated || len(findings.Violations) > 0
		options.Seed++
	}
	if violated {
		return errViolation
	}
	return nil
}
