package eventcode

// Events of the relay, which forwards requests by route, 2100 to 2199.
const (
	RelayStarted           Code = 2101
	RelayDrains            Code = 2102
	RelayStopped           Code = 2103
	SettingsReloaded       Code = 2104
	SettingsRejected       Code = 2105
	StoreLost              Code = 2110
	StoreRecovered         Code = 2111
	StoreHistoryGone       Code = 2112
	PeerCopyApplied        Code = 2113
	PeerCopyFailed         Code = 2114
	RosterNotRead          Code = 2115
	StoreReaderUnusable    Code = 2116
	RelayConfigInForce     Code = 2120
	ConfigRejected         Code = 2121
	MoveRejected           Code = 2122
	RegistrationRejected   Code = 2123
	ServerRegistered       Code = 2124
	ServerDeregistered     Code = 2125
	ServerUsability        Code = 2130
	ServerSilent           Code = 2131
	OutcomeNotDelivered    Code = 2132
	ServerAdopted          Code = 2133
	RelayMoveOrdered       Code = 2134
	RelayMoveDecided       Code = 2135
	RelayMoveRound         Code = 2136
	CacheListFailed        Code = 2137
	CopyNotDeleted         Code = 2138
	BudgetBorrowed         Code = 2139
	RelayRequestDone       Code = 2140
	RelayRequestRefused    Code = 2141
	RequestRerouted        Code = 2142
	PromptLocated          Code = 2143
	CopyOrdered            Code = 2144
	SuspectDeath           Code = 2145
	SuspectNotReported     Code = 2146
	LoadsNotExchanged      Code = 2147
	SuspectPartsDeath      Code = 2150
	SuspectPartsStopped    Code = 2151
	SuspectPartsCleared    Code = 2152
	SuspectRunEnded        Code = 2153
	SuspectStopsLearned    Code = 2154
	RelayRequestUnanswered Code = 2148
	SilentServerAwaited    Code = 2149
	RelayMovePaused        Code = 2155
	EntryIgnored           Code = 2158
	ResponseUnrelated      Code = 2159
	ServerLeaves           Code = 2160
	ServerRefuses          Code = 2161
	StreamRefusedByUrgency Code = 2162
	ServerFull             Code = 2163
	MemoryBudgetUsedUp     Code = 2164
	ConnectionsClosed      Code = 2165
	SlowCallerCut          Code = 2166
	HeadsRefused           Code = 2167
	PlainCallsShed         Code = 2168
	ResponseBroken         Code = 2169
	StoreEraBegan          Code = 2170
	SuspectDeathsAsked     Code = 2171
)

var relayEvents = []Entry{
	{RelayStarted, "relay started", "The relay runs and binds its sockets.", "Nothing."},
	{RelayDrains, "relay drains", "A graceful shutdown began; open requests finish.", "Nothing."},
	{RelayStopped, "relay stopped", "All tasks stopped. With an error, requests were still open.", "With an error: compare the stop time with the longest requests."},
	{SettingsReloaded, "settings reloaded", "The settings file was read again and is in force as far as it can change at run time.", "Nothing."},
	{SettingsRejected, "settings rejected", "The settings file could not be read again; the current settings stay in force.", "Correct the fields that the line names."},
	{StoreLost, "store lost", "The store does not serve this host; copies of its tables stay in use and peers are asked for newer ones.", "Check the store if it stays unreachable."},
	{StoreRecovered, "store regained", "The store serves this host again.", "Nothing."},
	{StoreHistoryGone, "store history gone", "The change feed does not hold the changes since this host's copy; the whole table is read again.", "Nothing unless it repeats."},
	{PeerCopyApplied, "peer copy taken", "A newer copy of a table was received from another entry host.", "Nothing."},
	{PeerCopyFailed, "peer copy failed", "No entry host that was asked has a copy of the table.", "Check the links between entry hosts if it repeats."},
	{RosterNotRead, "roster not read", "The row of this host could not be written, or a row of the list of entry hosts could not be decoded or the list delivered; the last one stays in use.", "Check the store if it repeats."},
	{StoreReaderUnusable, "reader left", "The entry host that reads the store for this one does not answer; another host takes its place for a while, or this one reads the store itself.", "Look at the peer if it repeats."},
	{RelayConfigInForce, "relay configuration in force", "A newer configuration applies to requests from now on.", "Nothing."},
	{ConfigRejected, "configuration rejected", "The operator's configuration could not be read; the current one stays in force.", "Correct the configuration."},
	{MoveRejected, "move rejected", "An order for a version move could not be read and is ignored.", "Correct the order."},
	{RegistrationRejected, "registration rejected", "A registration could not be decoded and is ignored.", "If the key is that of a server, find out what wrote the registration."},
	{ServerRegistered, "server registered", "A server was registered, changed its state or started again.", "Nothing."},
	{ServerDeregistered, "server gone", "A registration ended.", "Nothing unless the server should run."},
	{ServerUsability, "server standing", "This host stopped or resumed sending new work to a server because of the outcomes of attempts.", "Look at the server if it repeats."},
	{ServerSilent, "server silent", "A server did not answer a query about its runs; its streams continue on other servers.", "Look at the server if it repeats."},
	{OutcomeNotDelivered, "release lost", "The dispatcher did not receive the outcome of an attempt in time, or did not reply to a request, which is then refused.", "Report it with the log line."},
	{ServerAdopted, "server adopted", "A server answered under its own id at the address of another registration and receives work: an engine that restarted and is not registered yet, or (superseded) a server whose address a later entry names too.", "If superseded: find the writer of the entry that the line names as former."},
	{RelayMoveOrdered, "version move ordered", "The operator ordered a version move; this host takes part.", "Nothing."},
	{RelayMoveDecided, "version move decided", "The host that holds the move wrote its next state from the evidence of all hosts.", "For a withdrawn move, read the reason in the line and compare the rates of both versions by route."},
	{RelayMoveRound, "version move round", "A round of a version move failed; the current stage stays in force.", "Check the store if it repeats."},
	{CacheListFailed, "cache list failed", "An engine did not report which prompts its cache holds; for a resumed stream, another engine may have to process the prompt again.", "Look at the engine if it repeats."},
	{CopyNotDeleted, "copy lapses", "The cache copy of a run that has ended could not be deleted; the engines delete it after its lifetime.", "Nothing."},
	{BudgetBorrowed, "budget borrowed", "The retry budget of a service on this host was spent, and other hosts were asked to lend theirs for a retry.", "Nothing while they lend it. If none does, look for the failure that led to the retries."},
	{RelayRequestDone, "request done", "A request ended; the line lists its attempts with their outcomes and causes.", "For a failed request, read the attempts."},
	{RelayRequestRefused, "request refused", "A request was refused before it reached a server.", "Read the reason."},
	{RequestRerouted, "request rerouted", "An attempt failed and the request goes to another server.", "Look at the server if it repeats."},
	{PromptLocated, "prompt located", "A caller resumed a stream and the engines were asked which of them holds its prompt; the stream goes to that one first.", "Nothing. If the line names no server, the prompt is processed again."},
	{CopyOrdered, "copy ordered", "Another engine was ordered to copy the cache of a run, because the holder of the copy was lost or is not in this data centre.", "Nothing. With an error the run may have no copy; if its engine is then lost, the prompt is processed again."},
	{SuspectDeath, "suspect death", "A server died while it ran a request without a prompt that it had not answered yet. After three such deaths within a minute, requests with the same fingerprint are refused on all hosts.", "If stopped is true, keep the content of the request that the line names for the developers of the service."},
	{SuspectNotReported, "suspect untold", "Another entry host could not be informed of a request that crashes servers, or this host's list of such requests could not be read; such a request may reach more servers.", "Check the links between entry hosts if it repeats."},
	{RelayRequestUnanswered, "request unanswered", "The task of a request failed. Unless the line says that it was answered, the caller got 502, or a stream that had begun was cut off.", "Report it with the log line."},
	{SilentServerAwaited, "silent server awaited", "A server is silent under a request, and no other attempt is possible: the attempts of the route or the retry budget are used up, or no other server is usable. The request stays with the server, or goes back to it if those that replaced it failed.", "Look at the servers of the service if it repeats."},
	{LoadsNotExchanged, "loads not exchanged", "The entry host that collects the attempts on the engines of a data centre did not answer. The next collector is asked from then on; a stream for which none answers gets an engine by this host's own attempts.", "Look at the collector that the line names if it repeats."},
	{SuspectPartsDeath, "suspect parts death", "A server died while it had a request with a prompt that it had not begun to answer. The line names the content of the request (with #) and the parts of its prompt, as far as no server has answered requests with them in the last seconds.", "Nothing unless event 2151 follows."},
	{SuspectPartsStopped, "suspect parts stopped", "Three servers died, not together with others, under requests of one content (with #), or under requests of different content that hold the named parts of a prompt, and no host knows of an answer to them since. Such requests are refused on all hosts for ten minutes, or until a server answers one; after 30 s one request with the parts is tried.", "Keep the parts that the line names for the developers of the service; events 2150 name the requests."},
	{SuspectPartsCleared, "suspect parts cleared", "A server began to answer a request with a stopped part of a prompt, so the part is sound and no longer a reason to refuse requests; or one such request runs on trial.", "Nothing."},
	{SuspectRunEnded, "suspect run ended", "A request was stopped while a server had it but had not begun to answer, so that it does not crash that server.", "As for event 2151, which names the reason."},
	{SuspectStopsLearned, "suspect stops learned", "This host took over requests that other hosts have stopped, or found no host to ask for them after its start.", "If the line names no signature, check the links between entry hosts; such requests may reach more servers."},
	{EntryIgnored, "entry ignored", "The state of a version move, or the evidence of a host on it, cannot be read; the row is ignored and the others hold. The holder of the move replaces an unreadable state.", "Find the writer of the row that the line names."},
	{ResponseUnrelated, "response unrelated", "A server sent a response in the place of that to an attempt, with the id of another request or without one. It proves nothing: the connection is closed, and the attempt counts as one that may have run.", "Give the server and the time to the developers of its service: it writes responses more than once, or its registration has the address of another process."},
	{ResponseBroken, "response broken", "A server sent a response that is malformed, whose head does not end, or that ended with its connection before the request was written (reason incomplete), or it sent bytes that no request asked for (reason unsolicited). Its caller got nothing of it as a complete answer. It proves nothing: the connection is closed, and the attempt counts as one that may have run unless the request was not written. The line has the reason.", "Give the server and the reason to the developers of its service, or look for a device between this host and the server that changes responses."},
	{StoreEraBegan, "store from an older copy", "The store came back from an older copy of itself; the copy of a table was replaced by what the store has now. The line has the new era and both versions.", "See that the operator's newest documents are there again."},
	{SuspectDeathsAsked, "suspect deaths asked", "This host counts the deaths of a service's servers in the place of another, or has just started, and asks all hosts for the deaths that they know.", "If it repeats for long, look for entry hosts that are gone or cut off."},
	{ServerLeaves, "server leaves", "A server stated in a response, or in a report if it is adopted, that it leaves, or another process has taken its place; this host sends it no new work while it leaves, whatever its registration says.", "Nothing. If the registration stays ready for long after an outage of the store, look at the server."},
	{ServerRefuses, "server refuses", "A server turned a request away and asked for no requests for a time, or stated a time that cannot be used. This host sends it nothing new until then; if all servers of a service have asked for that, its requests are refused with the shortest of these times.", "If it repeats, the service lacks capacity: look at its servers."},
	{StreamRefusedByUrgency, "stream refused by urgency", "A less urgent stream was refused at once as not run, since more urgent streams would miss their latency objective (reason more_urgent_streams_wait) or it would miss its own (wait_exceeds_objective). The line names the predicted wait, the waiting prompts by rank, the usable engines, the rank and the age of this host's view.", "If it repeats, the engines of the data centre that the line names lack capacity. If view_age_ms is above 300, look at the collector of its loads (event 2147)."},
	{ServerFull, "server full", "A server of a plain service refused several requests in a row as not run, so that this host asks it seldom, or has answered after that.", "If it repeats, the service lacks capacity: look at its servers. A single server that is named alone refuses for another reason."},
	{MemoryBudgetUsedUp, "memory budget used up", "Clients or servers sent more than the memory of this host allows. Since the last such line, refused claims were refused and gave_way requests were ended before they ran, because they stalled, were slow or were large.", "Find the senders of large or slow requests in the events 2141 with the reason memory_full, and servers of large answers in the attempts of events 2140. If they are ordinary callers, give the host more memory or --caller-memory-mb."},
	{ConnectionsClosed, "connections closed", "A socket had as many connections as allowed; those without a request were closed to make room, of the address with most connections first.", "If the callers are ordinary, raise --max-caller-connections or the descriptors and the memory of the machine."},
	{PlainCallsShed, "plain calls shed", "This host began to refuse a part of the calls of a plain service at once as not run, since no server was expected to answer in time, or it stopped doing so. The line names the delay of answers that the hosts of the data centre saw, the part that is refused, and at the end the number of calls.", "If it repeats, the service lacks capacity: look at its servers."},
	{SlowCallerCut, "slow caller disconnected", "A caller took its response more slowly than its route allows, or the bound on what is held for slow callers was reached; this host closed its connection and ended its attempt. The line has the reason and the bytes that were left.", "Nothing for a single caller. If it repeats for an organisation, tell it to read streams as they arrive; a reason that ends in bound and repeats on one host means that many callers read slowly."},
	{HeadsRefused, "heads refused", "Callers sent heads with more lines than --max-head-lines (answered 431), or larger than the memory of this host allowed (answered 503); the requests did not run.", "Find the senders; no ordinary caller sends hundreds of header lines."},
	{RelayMovePaused, "version move paused", "This host could not run several rounds of a version move in a row; it sends the new version no more than the initial share until it can.", "Check the store."},
}
