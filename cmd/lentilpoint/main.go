// Command lentilpoint is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/version"
)

func main() {
	root := &cobra.Command{
		Use:           "lentilpoint",
		Short:         "Operate lentilpoint: services, organisations, version moves and explanations",
		Version:       version.String(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
