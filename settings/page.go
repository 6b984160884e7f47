package settings

import (
	"fmt"
	"strings"

	"github.com/spf13/pflag"
)

// Page returns the text of docs/operators/settings.md, a table of all flags.
func Page() string {
	var values Settings
	flags := pflag.NewFlagSet("lentilpointd", pflag.ContinueOnError)
	RegisterFlags(flags, &values)
	var page strings.Builder
	page.WriteString("# Settings of the daemon\n\nEach setting is a flag of `lentilpointd` or an environment variable; the flag wins. All settings are\n")
	page.WriteString("checked at start, and every bad one is named at once. Values marked as secret never appear in logs.\n\n")
	page.WriteString("This page is generated from package `settings`; a test keeps them equal.\n\n")
	page.WriteString("| flag | environment variable | type | default | meaning |\n| --- | --- | --- | --- | --- |\n")
	flags.VisitAll(func(flag *pflag.Flag) {
		defaultValue := flag.DefValue
		if defaultValue == "" || defaultValue == "[]" {
			defaultValue = "none"
		}
		fmt.Fprintf(&page, "| `--%s` | `%s` | %s | %s | %s |\n",
			flag.Name, EnvironmentName(EnvironmentPrefix, flag.Name), flag.Value.Type(), defaultValue, flag.Usage)
	})
	return page.String()
}
