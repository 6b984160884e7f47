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

// Module provides the control task.
var Module = fx.Module("control",
	fx.Provide(DefaultPolicy, provideCommitter, func() OrderSender { return SendByMailbox{} }, provideInbox, provideControl),
	task.AsChild[*Control](),
)

func provideCommitter(table platform.Table, clock clockwork.Clock) Committer {
	return RevisionCommitter{Committer: config.Committer{Table: table, Clock: clock}}
}

// inbox holds the mailboxes of control. They exist apart from the task, because
// the tasks that send to them are built before those that it sends to.
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
	made := newInbox()
	return inboxOut{Inbox: made, Configurations: made.configurations, Hosts: made.hosts, ServerEvents: made.serverEvents}
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

// provideControl makes a new incarnation for each start of the process, as a
// restarted host must not act on a lease of its earlier run.
func provideControl(in controlIn) *Control {
	owner := Owner{Host: model.HostID(in.Settings.HostID), Incarnation: model.Incarnation(in.Clock.Now().UnixNano())}
	links := Links{Table: in.Table, Committer: in.Committer, Sender: in.Sender, Recorder: in.Recorder, Reports: in.Reports}
	return newControl(owner, in.Policy, links, in.Inbox, in.Clock, in.Logger)
}
