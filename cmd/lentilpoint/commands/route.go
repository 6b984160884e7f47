package commands

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/entryhost/operators"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/peering"
	"github.com/lentilpoint/lentilpoint/model"
)

func explainRouteCommand(g *globals) *cobra.Command {
	var peer string
	var query dispatch.RouteQuery
	cmd := &cobra.Command{
		Use: "explain-route", Short: "Explain where a request would go now, without sending it", Args: cobra.NoArgs,
		Long: "Asks one entry host of the relay, by its address for peers, which server it would take for a request and why.\n" +
			"The host sends nothing to servers and changes no state. Costs are in seconds, and the lowest one is taken.\n" +
			"Random jitter, samples of engines and reservations of the collector are left out, so that a real request\n" +
			"may go to another server of similar cost.",
		Example: "  lentilpoint explain-route --peer 10.0.0.7:8748 --host api.example --path /summaries/1\n" +
			"  lentilpoint explain-route --peer 10.0.0.7:8748 --host api.example --path /summaries/1 --organisation paid --resume --output json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkRouteQuery(peer, query); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), g.timeout)
			defer cancel()
			explained, err := peering.ExplainRoute(ctx, peer, query)
			if err != nil {
				return routeError(model.KindUnavailable, model.ReasonNotReady, fmt.Sprintf("the peer %s did not answer: %v", peer, err),
					"name with --peer the address for peers of a running entry host of this build")
			}
			switch {
			case explained.NotReady:
				return routeError(model.KindUnavailable, model.ReasonNotReady, explained.Problem, explained.Remedy)
			case explained.Problem != "":
				return routeError(model.KindNotFound, model.ReasonBadField, explained.Problem, explained.Remedy)
			}
			return g.printRoute(explained)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&peer, "peer", "", "address for peers of the entry host to ask, as HOST:PORT")
	flags.StringVar(&query.Host, "host", "", "host name of the request")
	flags.StringVar(&query.Path, "path", "", "path of the request")
	flags.StringVar(&query.Organisation, "organisation", "", "name of the caller's organisation")
	flags.BoolVar(&query.Resumed, "resume", false, "the caller has events of the stream already")
	flags.Float64Var(&query.Point, "point", 0, "number from 0 to below 1 that a request draws; it decides on the service of a split route and on the version in a move")
	return cmd
}

// checkRouteQuery returns an error for flags that no host can answer.
func checkRouteQuery(peer string, query dispatch.RouteQuery) error {
	if _, port, err := net.SplitHostPort(peer); err != nil || port == "" {
		return asUsageError(Error.New("--peer %q is not an address; name an entry host's address for peers, as in 10.0.0.7:8748", peer))
	}
	if query.Host == "" {
		return asUsageError(Error.New("--host is missing; name the host name of a route"))
	}
	if !strings.HasPrefix(query.Path, "/") {
		return asUsageError(Error.New("--path %q does not begin with a slash; name a path below the prefix of a route", query.Path))
	}
	if !(query.Point >= 0 && query.Point < 1) {
		return asUsageError(Error.New("--point must be from 0 to below 1, as in 0.5"))
	}
	return nil
}

func routeError(kind model.Kind, reason model.Reason, message, remedy string) error {
	return &requestError{detail: operators.ErrorDetail{Kind: kind, Reason: reason, Executed: model.ExecutedNo, Message: message, Remedy: remedy}}
}

// printRoute writes the decision, and for the table format the servers in a second table.
func (g *globals) printRoute(explained dispatch.Explanation) error {
	if err := g.print(explained, func() table { return decisionTable(explained) }); err != nil || g.output != "table" {
		return err
	}
	fmt.Fprintln(g.streams.Out)
	return g.printTable(routeServersTable(explained.Servers))
}

func decisionTable(explained dispatch.Explanation) table {
	t := table{headings: []string{"DECISION", ""}}
	t.add("route", explained.Route)
	t.add("service", fmt.Sprintf("%s (%s)", explained.Service, explained.Kind))
	t.add("organisation", orDash(explained.Organisation))
	t.add("rank", explained.Rank)
	t.add("refused", orDash(string(explained.Refusal)))
	if explained.Refusal != "" {
		t.add("retry after", explained.RetryAfter.Round(time.Millisecond))
	}
	t.add("waits for a server", yesNo(explained.Waits))
	t.add("predicted wait", explained.PredictedWait.Round(time.Millisecond))
	if move := explained.Move; move != nil {
		t.add("version move", fmt.Sprintf("to %s, phase %d, share %g", move.Target, move.Phase, move.Share))
	}
	for _, view := range explained.Views {
		age := "not known"
		if view.Known {
			age = fmt.Sprintf("%v old, used: %s", view.Age.Round(time.Millisecond), yesNo(view.Used))
		}
		t.add("loads in "+view.DataCentre, age)
	}
	for _, note := range explained.Notes {
		t.add("note", note)
	}
	return t
}

func routeServersTable(servers []dispatch.ExplainedServer) table {
	t := table{headings: []string{"SERVER", "DATA CENTRE", "VERSION", "TAKEN", "REMOVED BY", "COST", "PARTS"}}
	for _, server := range servers {
		parts := make([]string, len(server.Costs))
		for i, part := range server.Costs {
			parts[i] = fmt.Sprintf("%s %.2f", part.Name, part.Seconds)
		}
		t.add(server.ID, server.DataCentre, orDash(server.Version), yesNo(server.Taken), orDash(server.RemovedBy), fmt.Sprintf("%.2f", server.Cost), orDash(strings.Join(parts, ", ")))
	}
	return t
}
