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
func (l *Loads) Exchange(report loads.HostLoads, others *loads.Others) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	result, err := exchangeLocally(ctx, l.mailbox, report)
	*others = result
	return err
}

func exchangeLocally(ctx context.Context, mailbox task.Mailbox[loads.Exchange], report loads.HostLoads) (loads.Others, error) {
	return task.Call(ctx, mailbox, func(reply task.Reply[loads.Others]) loads.Exchange {
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
func (e LoadExchanger) Exchange(ctx context.Context, collector string, report loads.HostLoads) (loads.Others, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if collector == e.Self {
		return exchangeLocally(ctx, e.Mailbox, report)
	}
	var others loads.Others
	err := call(ctx, collector, loadsService+".Exchange", report, &others)
	return others, err
}
