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
	// MaxLoading bounds the servers that load a version at the same time, because
	// the weight store limits its rate.
	MaxLoading int
	// RepeatAfter is the time after which an order is sent again if the server's
	// load report does not show its effect.
	RepeatAfter time.Duration
	// MinServers is the minimum number of servers that hold a version with traffic.
	MinServers int
	// Headroom is the factor on the number of servers that a traffic share needs.
	Headroom float64
}

// ServerView is the state of a backend server that orders are planned from.
type ServerView struct {
	ID model.ServerID
	// Usable is true if the server is reachable and not leaving, and its load
	// report was read in the current term.
	Usable   bool
	Versions []string
	// Incarnation changes with each restart of the server.
	Incarnation uint64
}

// Has reports whether the server's load report shows the version.
func (s ServerView) Has(version model.Version) bool {
	return slices.Contains(s.Versions, string(version))
}

// LastOrder is the last order to a server.
type LastOrder struct {
	Order enginewire.Order
	// Sent is when it was last sent, or read from the table at the start of a term.
	Sent time.Time
	// InFlight is true until the outcome of the last send is known.
	InFlight bool
	// Settled is true once a load report has shown the effect of the order. A
	// settled order is never sent again; asking for the same state takes a new
	// order with a new id.
	Settled bool
	// Incarnation is that of the server when the order was sent, or 0 if unknown.
	Incarnation uint64
}

// SettleOrders returns the orders with those marked as settled whose effect the
// load reports show. An order also counts as settled if its server has restarted,
// because the server may have carried it out and lost the effect.
func SettleOrders(orders map[model.ServerID]LastOrder, servers []ServerView) map[model.ServerID]LastOrder {
	settled := maps.Clone(orders)
	for _, server := range servers {
		last, found := settled[server.ID]
		restarted := last.Incarnation != 0 && last.Incarnation != server.Incarnation
		if found && server.Usable && (restarted || last.TookEffect(server)) {
			last.Settled = true
			settled[server.ID] = last
		}
	}
	return settled
}

// TookEffect reports whether the server's load report shows the effect of the
// order.
func (o LastOrder) TookEffect(server ServerView) bool {
	return server.Has(model.Version(o.Order.Version)) == (o.Order.Kind == enginewire.OrderLoad)
}

// WantedOrder is an order that a server should receive now, before it has an id
// and a fencing number.
type WantedOrder struct {
	Server  model.ServerID
	Kind    enginewire.OrderKind
	Version model.Version
}

// OrderInput is the state from which orders are planned.
type OrderInput struct {
	Now time.Time
	// Keep lists the versions that every server should hold, and Obsolete those to
	// be unloaded.
	Keep     []model.Version
	Obsolete []model.Version
	// Spread is the new version of a running move, and SpreadServers the number of
	// servers that should hold it.
	Spread        model.Version
	SpreadServers int
	Servers       []ServerView
	LastOrders    map[model.ServerID]LastOrder
}

// DeriveOrderInput returns the order input with the versions to keep, to spread
// and to unload, derived from the configuration of a service.
func DeriveOrderInput(policy OrderPolicy, plan MovePlan, configuration *model.Configuration, service model.Service, servers []ServerView) OrderInput {
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
		input.SpreadServers = RequiredServers(policy, plan.StageShare(plan.CurrentStage(service, move)+1), countUsable(servers))
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

func countUsable(servers []ServerView) int {
	count := 0
	for _, server := range servers {
		if server.Usable {
			count++
		}
	}
	return count
}

// RequiredServers returns how many of the usable servers must hold a version with
// this share of the traffic, in units of model.FullShare.
func RequiredServers(policy OrderPolicy, share, servers int) int {
	needed := int(policy.Headroom*float64(servers)*float64(share)/model.FullShare + 0.999)
	return min(servers, max(policy.MinServers, needed))
}

// PlanOrders returns the orders to send now: at most one for each server, none
// to a server whose last order is in flight or neither settled nor due for
// repetition, and at most MaxLoading loads at once. A pending load is not repeated
// above that limit either: while its server was unusable, another one took its place.
func PlanOrders(policy OrderPolicy, input OrderInput) []WantedOrder {
	servers := slices.Clone(input.Servers)
	slices.SortStableFunc(servers, func(a, b ServerView) int {
		return cmp.Or(compareBools(b.Has(input.Spread), a.Has(input.Spread)), cmp.Compare(a.ID, b.ID))
	})
	loading := countLoading(policy, input)
	var orders []WantedOrder
	spread := input.SpreadServers
	for _, server := range servers {
		if !server.Usable {
			continue
		}
		spread--
		order, wanted := nextOrder(input, server, spread >= 0)
		if !wanted || !canReceiveOrder(policy, input, server) {
			continue
		}
		if order.Kind == enginewire.OrderLoad {
			added := 1
			if loadPending(policy, input, server) {
				added = 0
			}
			if loading+added > policy.MaxLoading {
				continue
			}
			loading += added
		}
		orders = append(orders, order)
	}
	return orders
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// countLoading counts the usable servers that may still be loading a version. A
// server that stopped answering is not counted.
func countLoading(policy OrderPolicy, input OrderInput) int {
	count := 0
	for _, server := range input.Servers {
		if server.Usable && loadPending(policy, input, server) {
			count++
		}
	}
	return count
}

// loadPending reports whether the server may still be carrying out a load order.
func loadPending(policy OrderPolicy, input OrderInput, server ServerView) bool {
	last, found := input.LastOrders[server.ID]
	return found && last.Order.Kind == enginewire.OrderLoad && !last.Settled &&
		(last.InFlight || input.Now.Sub(last.Sent) < 2*policy.RepeatAfter)
}

func nextOrder(input OrderInput, server ServerView, spread bool) (WantedOrder, bool) {
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

// canReceiveOrder reports whether the server has no order in flight and its last
// order is settled or due for repetition.
func canReceiveOrder(policy OrderPolicy, input OrderInput, server ServerView) bool {
	last, found := input.LastOrders[server.ID]
	if !found {
		return true
	}
	if last.InFlight {
		return false
	}
	return last.Settled || input.Now.Sub(last.Sent) >= policy.RepeatAfter
}
