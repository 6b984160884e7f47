package commands

import (
	"bufio"
	"fmt"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/operators"
	"github.com/lentilpoint/lentilpoint/model"
)

func servicesCommand(g *globals) *cobra.Command {
	list := &cobra.Command{
		Use: "list", Short: "List the services in force", Args: cobra.NoArgs,
		Example: "  lentilpoint services list",
		RunE: func(cmd *cobra.Command, _ []string) error {
			answer, err := fetch[operators.ServicesAnswer](cmd, g, operators.PathServices, nil)
			if err != nil {
				return err
			}
			return g.print(answer, func() table { return servicesTable(answer.Services) })
		},
	}
	show := &cobra.Command{
		Use: "show NAME", Short: "Show one service", Args: cobra.ExactArgs(1),
		Example: "  lentilpoint services show advisor --output yaml",
		RunE: func(cmd *cobra.Command, arguments []string) error {
			service, err := fetch[model.Service](cmd, g, operators.PathServices+"/"+url.PathEscape(arguments[0]), nil)
			if err != nil {
				return err
			}
			return g.print(service, func() table { return servicesTable([]model.Service{service}) })
		},
	}
	return commandGroup("services", "Look at services", list, show)
}

func servicesTable(services []model.Service) table {
	t := table{headings: []string{"NAME", "KIND", "VERSIONS", "DEADLINE", "REPEATABLE", "CHECKS FENCING", "EAGER RESUME"}}
	for _, service := range services {
		t.add(service.Name, service.Kind, sharesText(service.Shares), service.DefaultDeadline,
			orDash(strings.Join(service.RepeatableMethods, " ")), yesNo(service.ChecksFencing), yesNo(service.ResumeEager))
	}
	return t
}

func sharesText(shares []model.VersionShare) string {
	parts := make([]string, len(shares))
	for i, share := range shares {
		parts[i] = fmt.Sprintf("%s %g%%", share.Version, float64(share.Share)*100/model.FullShare)
	}
	return orDash(strings.Join(parts, ", "))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func organisationsCommand(g *globals) *cobra.Command {
	list := &cobra.Command{
		Use: "list", Short: "List the organisations in force", Args: cobra.NoArgs,
		Example: "  lentilpoint organisations list",
		RunE: func(cmd *cobra.Command, _ []string) error {
			answer, err := fetch[operators.OrganisationsAnswer](cmd, g, operators.PathOrganisations, nil)
			if err != nil {
				return err
			}
			return g.print(answer, func() table {
				t := table{headings: []string{"ID", "WEIGHT", "API KEYS", "MAX OPEN"}}
				for _, organisation := range answer.Organisations {
					t.add(organisation.ID, organisation.Weight, len(organisation.KeySHA256), organisation.MaxOpen)
				}
				return t
			})
		},
	}
	return commandGroup("organisations", "Look at organisations, add and remove them", list, addOrganisationCommand(g), removeOrganisationCommand(g))
}

func addOrganisationCommand(g *globals) *cobra.Command {
	var organisation model.Organisation
	cmd := &cobra.Command{
		Use: "add ID", Short: "Add an organisation and show its new API key once", Args: cobra.ExactArgs(1),
		Example: "  lentilpoint organisations add dago-crafts --weight 2",
		RunE: func(cmd *cobra.Command, arguments []string) error {
			organisation.ID = model.OrganisationID(arguments[0])
			body, err := fetch[operators.ConfigurationBody](cmd, g, operators.PathConfiguration, nil)
			if err != nil {
				return err
			}
			if _, exists := body.Organisations[organisation.ID]; exists {
				return invalidInputError(fmt.Sprintf("organisation %s exists", organisation.ID), "choose another id, or change it with the questionnaire")
			}
			key, digest := generateAPIKey()
			organisation.KeySHA256 = []string{digest}
			return g.submit(cmd, operators.CommitBody{
				Expected: body.Revision, ID: generateID("organisation"), Changes: []config.Change{{PutOrganisation: &organisation}},
			}, []issuedKey{{Organisation: organisation.ID, Key: key}})
		},
	}
	cmd.Flags().IntVar(&organisation.Weight, "weight", 1, "weight in the fair queue against other organisations")
	cmd.Flags().IntVar(&organisation.MaxOpen, "max-open", 0, "most requests open at once on one entry host; 0 means no limit")
	return cmd
}

func removeOrganisationCommand(g *globals) *cobra.Command {
	var yes bool
	cmd := &cobra.Command{
		Use: "remove ID", Short: "Remove an organisation; its API keys stop working", Args: cobra.ExactArgs(1),
		Example: "  lentilpoint organisations remove dago-crafts --yes",
		RunE: func(cmd *cobra.Command, arguments []string) error {
			body, err := fetch[operators.ConfigurationBody](cmd, g, operators.PathConfiguration, nil)
			if err != nil {
				return err
			}
			if !yes {
				if err := g.confirm(bufio.NewReader(g.streams.In), "Remove organisation "+arguments[0]+"? Its API keys stop working."); err != nil {
					return err
				}
			}
			return g.submit(cmd, operators.CommitBody{
				Expected: body.Revision, ID: generateID("organisation"),
				Changes: []config.Change{{DeleteOrganisation: model.OrganisationID(arguments[0])}},
			}, nil)
		},
	}
	cmd.Flags().BoolVar(&yes, "yes", false, "remove without asking for confirmation")
	return cmd
}
