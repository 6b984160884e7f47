package peering

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/task"
)

// Loads is the net/rpc service that collects the attempts of other hosts.
type Loads struct {
	mailbox task.Mailbox[loads.Exchange]
}

// Exchange receives a host's report and answers with the attempts of the others.
func (l *Loads) Exchange(report loads.HostLoads, totals *loads.Totals) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	others, err := exchangeLocally(ctx, l.mailbox, report)
	*totals = others
	return err
}

func exchangeLocally(ctx context.Context, mailbox task.Mailbox[loads.Exchange], report loads.HostLoads) (loads.Totals, error) {
	return task.Call(ctx, mailbox, func(reply task.Reply[loads.Totals]) loads.Exchange {
		return loads.Exchange{Report: report, Reply: reply}
	})
}

// LoadExchanger reports to collectors of loads. It implements
// dispatch.LoadExchanger.
type LoadExchanger struct {
	// Self is this host's address among its peers, and Mailbox its own collector.
	Self    string
	Mailbox task.Mailbox[loads.Exchange]
}

// loadTimeout bounds a report, for which a stream may wait. A collector of the same
// data centre answers within a millisecond, another one within 5 ms.
const loadTimeout = 40 * time.Millisecond

// Exchange implements dispatch.LoadExchanger.
func (e LoadExchanger) Exchange(ctx context.Context, collector string, report loads.HostLoads) (loads.Totals, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if collector == e.Self {
		return exchangeLocally(ctx, e.Mailbox, report)
	}
	var totals loads.Totals
	err := call(ctx, collector, loadsService+".Exchange", report, &totals)
	return totals, err
}
