package standin

import (
	"slices"
	"strconv"
	"time"

	"github.com/lentilpoint/lentilpoint/enginewire"
)

func (e *Engine) applyOrder(order enginewire.Order) enginewire.OrderResult {
	if e.options.ChecksFencing && order.Fencing < e.fencing {
		return enginewire.OrderResult{Message: "the fencing number is old; the newest is " + strconv.FormatUint(e.fencing, 10)}
	}
	e.fencing = max(e.fencing, order.Fencing)
	e.orders = append(e.orders, order)
	switch order.Kind {
	case enginewire.OrderLoad:
		e.loadVersion(order)
	case enginewire.OrderUnload:
		if slices.Contains(e.versions, order.Version) {
			e.recordEffect(order, time.Now())
		}
		e.versions = slices.DeleteFunc(e.versions, func(v string) bool { return v == order.Version })
	case enginewire.OrderRole:
		e.role = order.Role
	}
	return enginewire.OrderResult{Accepted: true}
}

// loadVersion loads a version after LoadDelay. An order that is repeated while the
// version loads has no further effect.
func (e *Engine) loadVersion(order enginewire.Order) {
	if slices.Contains(e.versions, order.Version) {
		return
	}
	started := time.Now()
	if e.options.LoadDelay == 0 {
		e.finishLoad(order, started)
		return
	}
	incarnation := e.incarnation
	time.AfterFunc(e.options.LoadDelay, func() {
		_ = e.messages.TrySend(taskFunction{run: func(e *Engine) {
			if e.incarnation == incarnation {
				e.finishLoad(order, started)
			}
		}})
	})
}

func (e *Engine) finishLoad(order enginewire.Order, started time.Time) {
	if slices.Contains(e.versions, order.Version) {
		return
	}
	e.versions = append(e.versions, order.Version)
	e.recordEffect(order, started)
}

func (e *Engine) recordEffect(order enginewire.Order, started time.Time) {
	e.effects = append(e.effects, Effect{Engine: e.options.ID, Order: order, Started: started, Finished: time.Now()})
}
