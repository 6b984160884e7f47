package control

import (
	"log/slog"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the control task and its dependencies.
var Module = fx.Module("control",
	fx.Provide(DefaultPolicy, provideCommitter, func() OrderSender { return MailboxSender{} }, provideInbox, provideControl),
	task.AsChild[*Control](),
)

func provideCommitter(table platform.Table, clock clockwork.Clock) Committer {
	return RevisionCommitter{Committer: config.Committer{Table: table, Clock: clock}}
}

// inbox holds the mailboxes of the control task. They are built separately,
// because fx builds the senders before the tasks that control depends on.
type inbox struct {
	configurations task.Mailbox[*model.Configuration]
	hosts          task.Mailbox[platform.HostsRead]
	serverEvents   task.Mailbox[backends.Event]
}

type inboxOut struct {
	fx.Out

	Inbox          inbox
	Configurations task.Mailbox[*model.Configuration] `group:"configuration_subscribers"`
	Hosts          task.Mailbox[platform.HostsRead]   `group:"host_list_subscribers"`
	ServerEvents   task.Mailbox[backends.Event]       `group:"pool_observers"`
}

func provideInbox() inboxOut {
	created := newInbox()
	return inboxOut{Inbox: created, Configurations: created.configurations, Hosts: created.hosts, ServerEvents: created.serverEvents}
}

type controlIn struct {
	fx.In

	Settings  settings.Settings
	Policy    Policy
	Inbox     inbox
	Table     platform.Table
	Committer Committer
	Sender    OrderSender
	Recorder  events.Recorder
	Reports   task.Mailbox[admission.EvidenceReport]
	Clock     clockwork.Clock
	Logger    *slog.Logger
}

// provideControl uses the start time as the incarnation, so that a restarted
// host does not act on a lease of its earlier run.
func provideControl(in controlIn) *Control {
	owner := Owner{Host: model.HostID(in.Settings.HostID), Incarnation: model.Incarnation(in.Clock.Now().UnixNano())}
	dependencies := Dependencies{Table: in.Table, Committer: in.Committer, Sender: in.Sender, Recorder: in.Recorder, Reports: in.Reports}
	return newControl(owner, in.Policy, dependencies, in.Inbox, in.Clock, in.Logger)
}
