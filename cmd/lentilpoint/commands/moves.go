package commands

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/entryhost/operators"
	"github.com/lentilpoint/lentilpoint/model"
)

// watchPollInterval is the time between reads of a watched move. Stages of a move
// take minutes.
const watchPollInterval = time.Second

func movesCommand(g *globals) *cobra.Command {
	return commandGroup("moves", "Start, watch and cancel version moves",
		startMoveCommand(g), listMovesCommand(g), showMoveCommand(g), cancelMoveCommand(g))
}

func startMoveCommand(g *globals) *cobra.Command {
	var body operators.StartMoveBody
	var deadline, id, from, to string
	var watch bool
	cmd := &cobra.Command{
		Use: "start SERVICE", Short: "Start to move a service's traffic to another version", Args: cobra.ExactArgs(1),
		Long: "Starts a move. The system raises the share of the new version in stages while it stays good,\n" +
			"and withdraws it otherwise. A move that cannot finish by its deadline is withdrawn.",
		Example: "  lentilpoint moves start advisor --to advisor-v2 --deadline 2h --watch\n" +
			"  lentilpoint moves start advisor --to advisor-v2 --deadline 2026-12-04T18:00:00Z",
		RunE: func(cmd *cobra.Command, arguments []string) error {
			at, err := parseDeadline(deadline, time.Now())
			if err != nil {
				return err
			}
			if to == "" {
				return asUsageError(Error.New("--to is missing; name the version that gets the traffic"))
			}
			if id == "" {
				id = generateID("move")
			}
			body = operators.StartMoveBody{ID: model.MoveID(id), Service: model.ServiceName(arguments[0]), From: model.Version(from), To: model.Version(to), Deadline: at}
			client, err := g.client()
			if err != nil {
				return err
			}
			var answer operators.CommitAnswer
			if err := client.post(cmd.Context(), operators.PathMoves, body, &answer); err != nil {
				return err
			}
			g.printMessage("move %s started with revision %d", id, answer.Revision)
			return g.showMove(cmd, id, watch)
		},
	}
	cmd.Flags().StringVar(&to, "to", "", "version that gets the traffic")
	cmd.Flags().StringVar(&from, "from", "", "version that loses the traffic; empty means the one with the largest share")
	cmd.Flags().StringVar(&deadline, "deadline", "", "time by which all traffic must have moved, as in 2h or 2026-12-04T18:00:00Z")
	cmd.Flags().StringVar(&id, "id", "", "id of the move; empty makes one")
	cmd.Flags().BoolVar(&watch, "watch", false, "follow the move until it ends")
	return cmd
}

// parseDeadline parses a deadline that is given as an RFC 3339 time or as a duration
// from now. It must be in the future.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if untilDeadline, err := time.ParseDuration(text); err == nil && untilDeadline > 0 {
		return now.Add(untilDeadline).UTC(), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil || !at.After(now) {
		return time.Time{}, asUsageError(Error.New("--deadline %q is not a later time; write it as in 2h or 2026-12-04T18:00:00Z", text))
	}
	return at.UTC(), nil
}

func listMovesCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List moves, the newest first", Args: cobra.NoArgs,
		Example: "  lentilpoint moves list",
		RunE: func(cmd *cobra.Command, _ []string) error {
			answer, err := fetch[operators.MovesAnswer](cmd, g, operators.PathMoves, nil)
			if err != nil {
				return err
			}
			return g.print(answer, func() table { return movesTable(answer.Moves...) })
		},
	}
}

func movesTable(moves ...model.Move) table {
	t := table{headings: []string{"ID", "SERVICE", "FROM", "TO", "STATE", "STAGE", "STARTED", "DEADLINE", "REASON"}}
	for _, move := range moves {
		t.add(move.ID, move.Service, move.From, move.To, move.State, move.Stage, formatTime(move.Started), formatTime(move.Deadline), orDash(move.Reason))
	}
	return t
}

func showMoveCommand(g *globals) *cobra.Command {
	var watch bool
	cmd := &cobra.Command{
		Use: "show ID", Short: "Show one move", Args: cobra.ExactArgs(1),
		Example: "  lentilpoint moves show move-abc --watch",
		RunE: func(cmd *cobra.Command, arguments []string) error {
			return g.showMove(cmd, arguments[0], watch)
		},
	}
	cmd.Flags().BoolVar(&watch, "watch", false, "follow the move until it ends")
	return cmd
}

// showMove prints a move. With watch it first prints each change of its state and
// stage until the move ends, and returns errWithdrawn if it was withdrawn.
func (g *globals) showMove(cmd *cobra.Command, id string, watch bool) error {
	move, err := g.fetchMove(cmd, id)
	if err != nil {
		return err
	}
	for watch && move.State == model.MoveRunning {
		previous := move
		g.printMessage("move %s: %s, stage %d, deadline %s", id, move.State, move.Stage, formatTime(move.Deadline))
		for move.State == previous.State && move.Stage == previous.Stage {
			if err := sleepContext(cmd.Context(), watchPollInterval); err != nil {
				return err
			}
			if move, err = g.pollMove(cmd, previous); err != nil {
				return err
			}
		}
	}
	if err := g.print(move, func() table { return movesTable(move) }); err != nil {
		return err
	}
	if watch && move.State == model.MoveWithdrawn {
		return errWithdrawn
	}
	return nil
}

// pollMove reads a move. While no server answers, it returns the previous state and
// the command keeps watching, because the move continues on the entry hosts.
func (g *globals) pollMove(cmd *cobra.Command, previous model.Move) (model.Move, error) {
	move, err := g.fetchMove(cmd, string(previous.ID))
	if ExitCode(err) == ExitUnavailable && cmd.Context().Err() == nil {
		g.printMessage("%s; still watching", describeError(err))
		return previous, nil
	}
	return move, err
}

func (g *globals) fetchMove(cmd *cobra.Command, id string) (model.Move, error) {
	return fetch[model.Move](cmd, g, operators.PathMoves+"/"+url.PathEscape(id), nil)
}

func sleepContext(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(duration):
		return nil
	}
}

func cancelMoveCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use: "cancel ID", Short: "Withdraw a running move; the old version gets its traffic back", Args: cobra.ExactArgs(1),
		Example: "  lentilpoint moves cancel move-abc",
		RunE: func(cmd *cobra.Command, arguments []string) error {
			client, err := g.client()
			if err != nil {
				return err
			}
			var answer operators.CommitAnswer
			if err := client.call(cmd.Context(), http.MethodDelete, operators.PathMoves+"/"+url.PathEscape(arguments[0]), nil, &answer); err != nil {
				return err
			}
			g.printMessage("move %s is withdrawn with revision %d", arguments[0], answer.Revision)
			return g.showMove(cmd, arguments[0], false)
		},
	}
}
