package peering

import (
	"context"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/task"
)

const routesService = "Routes"

// Routes is the net/rpc service that explains where a request would go from this host.
type Routes struct {
	dispatcher task.Mailbox[dispatch.Message]
}

// Explain sets explained to the decision that the described request would get now.
func (r *Routes) Explain(query dispatch.RouteQuery, explained *dispatch.Explanation) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := task.Call(ctx, r.dispatcher, func(reply task.Reply[dispatch.Explanation]) dispatch.Message {
		return dispatch.Explain{Query: query, Reply: reply}
	})
	*explained = answer
	return err
}

// ExplainRoute asks the host at the address for its decision about the described request.
// The context must have a deadline.
func ExplainRoute(ctx context.Context, address string, query dispatch.RouteQuery) (dispatch.Explanation, error) {
	var explained dispatch.Explanation
	err := call(ctx, address, routesService+".Explain", query, &explained)
	return explained, err
}
