package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/model"
)

// OrderPolicy holds the limits of orders to backend servers.
type OrderPolicy struct {
	// MaxLoading bounds the servers that load a version at once, for the rate
	// limit of the weight store.
	MaxLoading int
	// RepeatAfter is the time after which an order is repeated while the server's
	// load report does not show the wanted state.
	RepeatAfter time.Duration
	// MinServers is the least number of servers that hold a version with traffic.
	MinServers int
	// Headroom multiplies the servers that a share of the traffic needs.
	Headroom float64
}

// ServerView is what the order policy reads of a backend server.
type ServerView struct {
	ID model.ServerID
	// Usable tells that the server is reachable, not leaving, and that its load
	// report was read in the present term.
	Usable   bool
	Versions []string
	// Incarnation tells restarts of the server apart.
	Incarnation uint64
}

// Has reports whether the server's load report shows the version.
func (s ServerView) Has(version model.Version) bool {
	return slices.Contains(s.Versions, string(version))
}

// Outstanding is the last order to a server.
type Outstanding struct {
	Order enginewire.Order
	// Sent is when it was last sent, or read back from the table.
	Sent time.Time
	// InFlight tells that its outcome is not known yet.
	InFlight bool
	// Settled tells that a load report has shown its wanted state. An order that
	// is settled is never sent again; the same wish gets a new one.
	Settled bool
	// Incarnation is the server's when the order was sent, or 0 if unknown.
	Incarnation uint64
}

// Settle returns the orders after the servers' load reports were read. A server
// that restarted may have carried out its order and lost the effect, so that the
// order counts as settled too.
func Settle(orders map[model.ServerID]Outstanding, servers []ServerView) map[model.ServerID]Outstanding {
	settled := maps.Clone(orders)
	for _, server := range servers {
		last, found := settled[server.ID]
		restarted := last.Incarnation != 0 && last.Incarnation != server.Incarnation
		if found && server.Usable && (restarted || last.Shown(server)) {
			last.Settled = true
			settled[server.ID] = last
		}
	}
	return settled
}

// Shown reports whether the server's state is what the order asks for.
func (o Outstanding) Shown(server ServerView) bool {
	return server.Has(model.Version(o.Order.Version)) == (o.Order.Kind == enginewire.OrderLoad)
}

// WantedOrder is an order that a server should receive now.
type WantedOrder struct {
	Server  model.ServerID
	Kind    enginewire.OrderKind
	Version model.Version
}

// OrderInput is the state from which orders are planned.
type OrderInput struct {
	Now time.Time
	// Keep are the versions that every server holds; Obsolete ones are unloaded.
	Keep     []model.Version
	Obsolete []model.Version
	// Spread is the version of a running move, held by SpreadOn servers.
	Spread      model.Version
	SpreadOn    int
	Servers     []ServerView
	Outstanding map[model.ServerID]Outstanding
}

// Wanted derives the versions to keep, to spread and to unload from the
// configuration of a service.
func Wanted(policy OrderPolicy, plan MovePlan, configuration *model.Configuration, service model.Service, servers []ServerView) OrderInput {
	input := OrderInput{Servers: servers}
	move, running := configuration.RunningMove(service.Name)
	for _, share := range service.Shares {
		if share.Share > 0 && (!running || share.Version != move.To) {
			input.Keep = append(input.Keep, share.Version)
		}
	}
	if running {
		if !slices.Contains(input.Keep, move.From) {
			input.Keep = append(input.Keep, move.From)
		}
		input.Spread = move.To
		input.SpreadOn = ServersFor(policy, plan.Share(plan.Current(service, move)+1), usable(servers))
	}
	for _, ended := range configuration.Moves {
		if ended.Service != service.Name {
			continue
		}
		obsolete := ended.From
		if ended.State == model.MoveWithdrawn {
			obsolete = ended.To
		}
		if ended.State != model.MoveRunning && obsolete != input.Spread && !slices.Contains(input.Keep, obsolete) {
			input.Obsolete = append(input.Obsolete, obsolete)
		}
	}
	slices.Sort(input.Obsolete)
	return input
}

func usable(servers []ServerView) int {
	count := 0
	for _, server := range servers {
		if server.Usable {
			count++
		}
	}
	return count
}

// ServersFor returns how many of the usable servers must hold a version with
// this share of the traffic.
func ServersFor(policy OrderPolicy, share, servers int) int {
	needed := int(policy.Headroom*float64(servers)*float64(share)/model.ShareWhole + 0.999)
	return min(servers, max(policy.MinServers, needed))
}

// PlanOrders returns the orders to send now: at most one for each server, none
// to a server whose last order is not settled, and at most MaxLoading loads at once.
func PlanOrders(policy OrderPolicy, input OrderInput) []WantedOrder {
	servers := slices.Clone(input.Servers)
	slices.SortStableFunc(servers, func(a, b ServerView) int {
		return cmp.Or(boolOrder(b.Has(input.Spread), a.Has(input.Spread)), cmp.Compare(a.ID, b.ID))
	})
	loading := countLoading(policy, input)
	var orders []WantedOrder
	spread := input.SpreadOn
	for _, server := range servers {
		if !server.Usable {
			continue
		}
		spread--
		order, wanted := wantedOrder(input, server, spread >= 0)
		if !wanted || !mayOrder(policy, input, server) {
			continue
		}
		if order.Kind == enginewire.OrderLoad && !pending(policy, input, server) {
			if loading >= policy.MaxLoading {
				continue
			}
			loading++
		}
		orders = append(orders, order)
	}
	return orders
}

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// countLoading counts the servers whose last load order is not shown yet. One
// that stopped answering no longer loads.
func countLoading(policy OrderPolicy, input OrderInput) int {
	count := 0
	for _, server := range input.Servers {
		if server.Usable && pending(policy, input, server) {
			count++
		}
	}
	return count
}

// pending reports whether the server's last order was a load that it may still
// be carrying out.
func pending(policy OrderPolicy, input OrderInput, server ServerView) bool {
	last, found := input.Outstanding[server.ID]
	return found && last.Order.Kind == enginewire.OrderLoad && !last.Settled &&
		(last.InFlight || input.Now.Sub(last.Sent) < 2*policy.RepeatAfter)
}

func wantedOrder(input OrderInput, server ServerView, spread bool) (WantedOrder, bool) {
	load := input.Keep
	if spread && input.Spread != "" {
		load = append(slices.Clone(load), input.Spread)
	}
	for _, version := range load {
		if !server.Has(version) {
			return WantedOrder{Server: server.ID, Kind: enginewire.OrderLoad, Version: version}, true
		}
	}
	for _, version := range input.Obsolete {
		if server.Has(version) {
			return WantedOrder{Server: server.ID, Kind: enginewire.OrderUnload, Version: version}, true
		}
	}
	return WantedOrder{}, false
}

// mayOrder reports whether the server's last order is settled or due to be
// repeated.
func mayOrder(policy OrderPolicy, input OrderInput, server ServerView) bool {
	last, found := input.Outstanding[server.ID]
	if !found {
		return true
	}
	if last.InFlight {
		return false
	}
	return last.Settled || input.Now.Sub(last.Sent) >= policy.RepeatAfter
}
