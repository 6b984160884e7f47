package standin

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	usersplatform "github.com/lentilpoint/lentilpoint/platform"
	"github.com/lentilpoint/lentilpoint/task"
)

// PlatformFaults are the faults of the platform that are in effect.
type PlatformFaults struct {
	// Down refuses every request.
	Down bool
	// Delay is added to every request.
	Delay time.Duration
	// LoseAnswers is the share of writes, from 0 to 1, whose answer is lost after the
	// write took effect.
	LoseAnswers float64
	// LoseRequests is the share of writes, from 0 to 1, that are lost before they take
	// effect.
	LoseRequests float64
	// HostLag is the delay after which a new host list is served.
	HostLag time.Duration
}

// PlatformCounts are the numbers of requests to the platform, including refused ones.
type PlatformCounts struct {
	Reads  int
	Writes int
}

// Platform is the task of the stand-in platform, which serves one table of rows,
// objects and the host list.
type Platform struct {
	messages task.Mailbox[func(*Platform)]
	endpoint *endpoint
	random   *rand.Rand

	rows    map[string]platform.Row
	objects map[string][]byte
	// hostLists holds all host lists, oldest first. The number of a list, which is
	// its version on the wire, is its index plus 1.
	hostLists []hostListUpdate
	faults    PlatformFaults
	counts    PlatformCounts
	// version is the version of the newest transaction.
	version uint64
}

// hostListUpdate is a host list and the time at which it was set.
type hostListUpdate struct {
	at    time.Time
	hosts []model.Host
}

// StartPlatform starts the stand-in platform on a loopback address. The seed determines
// which writes PlatformFaults lose.
func StartPlatform(ctx context.Context, seed uint64) (*Platform, error) {
	p := &Platform{
		messages: task.NewMailbox[func(*Platform)](1024),
		random:   rand.New(rand.NewPCG(seed, 2)),
		rows:     make(map[string]platform.Row),
		objects:  make(map[string][]byte),
	}
	endpoint, err := newEndpoint(p.handler())
	if err != nil {
		return nil, err
	}
	p.endpoint = endpoint
	go serveTask(ctx, p, endpoint.close)
	return p, nil
}

// URL returns the base URL of the platform.
func (p *Platform) URL() string { return "http://" + p.endpoint.address }

func (p *Platform) mailbox() task.Mailbox[func(*Platform)] { return p.messages }

// SetFaults replaces the faults in effect.
func (p *Platform) SetFaults(faults PlatformFaults) {
	callWithTimeout(p, func(p *Platform) bool { p.faults = faults; return true })
}

// Silence discards all further data on the open connections without closing them.
// New connections work.
func (p *Platform) Silence() {
	callWithTimeout(p, func(p *Platform) bool { p.endpoint.silence(); return true })
}

// SetHosts replaces the host list. It is served after PlatformFaults.HostLag, but the
// first list at once.
func (p *Platform) SetHosts(hosts []model.Host) {
	update := hostListUpdate{at: time.Now(), hosts: slices.Clone(hosts)}
	callWithTimeout(p, func(p *Platform) bool { p.hostLists = append(p.hostLists, update); return true })
}

// Counts returns the numbers of requests so far.
func (p *Platform) Counts() PlatformCounts {
	return callWithTimeout(p, func(p *Platform) PlatformCounts { return p.counts })
}

// Rows returns the rows whose keys start with the prefix, sorted by key.
func (p *Platform) Rows(prefix string) []platform.Row {
	return callWithTimeout(p, func(p *Platform) []platform.Row { return p.scan(prefix) })
}

// Objects returns the names of all stored objects, sorted.
func (p *Platform) Objects() []string {
	return callWithTimeout(p, func(p *Platform) []string { return p.objectNames("") })
}

// applyTransaction executes a transaction if all its conditions hold. Otherwise the
// answer has the current rows of the conditions.
func (p *Platform) applyTransaction(transaction storeTransaction) (answer storeAnswer, committed bool) {
	for _, condition := range transaction.Conditions {
		if row := p.rows[condition.Key]; uint64(row.Version) != condition.Version {
			return p.newAnswer(p.conditionRows(transaction.Conditions)), false
		}
	}
	p.version++
	for _, put := range transaction.Puts {
		p.rows[put.Key] = platform.Row{Key: put.Key, Value: put.Value, Version: platform.RowVersion(p.version)}
	}
	for _, removed := range transaction.Remove {
		delete(p.rows, removed.Key)
	}
	return p.newAnswer(nil), true
}

// conditionRows returns the current rows of the conditions; rows that do not exist are
// left out.
func (p *Platform) conditionRows(conditions []storeRow) []storeRow {
	var rows []storeRow
	for _, condition := range conditions {
		if row, found := p.rows[condition.Key]; found {
			rows = append(rows, storeRowOf(row))
		}
	}
	return rows
}

func storeRowOf(row platform.Row) storeRow {
	return storeRow{Table: usersplatform.TableProduct, Key: row.Key, Value: row.Value, Version: uint64(row.Version)}
}

func (p *Platform) newAnswer(rows []storeRow) storeAnswer {
	return storeAnswer{Rows: rows, Version: p.version}
}

// scan returns the rows whose keys start with the prefix, sorted by key.
func (p *Platform) scan(prefix string) []platform.Row {
	rows := make([]platform.Row, 0)
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// rowRange is a query for the rows of a partition with from <= key < to. An empty to
// and limit 0 mean no bound.
type rowRange struct {
	table, part, from, to string
	limit                 int
}

// readRows returns the rows of a range. All tables except the host list share the same
// rows.
func (p *Platform) readRows(query rowRange) storeAnswer {
	rows := make([]storeRow, 0)
	if query.table == usersplatform.TableHostList {
		rows = p.hostRows(model.DataCentre(query.part))
	} else {
		for _, row := range p.scan("") {
			rows = append(rows, storeRowOf(row))
		}
	}
	rows = slices.DeleteFunc(rows, func(row storeRow) bool {
		return row.Key < query.from || query.to != "" && row.Key >= query.to
	})
	answer := p.newAnswer(rows)
	if query.table == usersplatform.TableHostList {
		_, number := p.currentHosts()
		answer.Version = uint64(number)
	}
	if query.limit > 0 && len(rows) > query.limit {
		answer.Rows, answer.Truncated = rows[:query.limit], true
	}
	return answer
}

func (p *Platform) objectNames(prefix string) []string {
	names := make([]string, 0)
	for name := range p.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// currentHosts returns the newest host list that is older than HostLag, or the first
// one, and its number. The number is 0 before SetHosts.
func (p *Platform) currentHosts() ([]model.Host, int) {
	hosts, number := []model.Host{}, 0
	for i, update := range p.hostLists {
		if i == 0 || time.Since(update.at) >= p.faults.HostLag {
			hosts, number = update.hosts, i+1
		}
	}
	return hosts, number
}

// hostRows returns a row for each host of the data centre. The version of the rows is
// the number of the list.
func (p *Platform) hostRows(dataCentre model.DataCentre) []storeRow {
	hosts, number := p.currentHosts()
	rows := make([]storeRow, 0, len(hosts))
	for _, host := range hosts {
		if host.DataCentre != dataCentre {
			continue
		}
		value, err := json.Marshal(host)
		if err != nil {
			continue
		}
		rows = append(rows, storeRow{Table: usersplatform.TableHostList, Part: string(dataCentre), Key: host.ID, Value: value, Version: uint64(number)})
	}
	return rows
}

// hostChanges returns all rows of the host list if its number is higher than after. The
// host list has a version counter of its own because it is served after HostLag.
func (p *Platform) hostChanges(after uint64) storeAnswer {
	_, number := p.currentHosts()
	answer := storeAnswer{Rows: []storeRow{}, Version: uint64(number)}
	if uint64(number) > after {
		for _, part := range p.partitions() {
			answer.Rows = append(answer.Rows, p.hostRows(model.DataCentre(part))...)
		}
	}
	return answer
}

// partitions returns the data centres of the host list, sorted. Each is a partition of
// its table.
func (p *Platform) partitions() []string {
	hosts, _ := p.currentHosts()
	parts := make([]string, 0)
	for _, host := range hosts {
		if !slices.Contains(parts, string(host.DataCentre)) {
			parts = append(parts, string(host.DataCentre))
		}
	}
	slices.Sort(parts)
	return parts
}

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+usersplatform.PathTransact, p.serveTransact)
	mux.HandleFunc("GET "+usersplatform.PathRows, p.serveRows)
	mux.HandleFunc("GET "+usersplatform.PathFeed, p.serveHostChanges)
	mux.HandleFunc("GET "+usersplatform.PathParts, p.serveParts)
	mux.HandleFunc("PUT "+usersplatform.PathObjectPut+"{name...}", p.servePutObject)
	mux.HandleFunc("GET "+usersplatform.PathObjectGet+"{name...}", p.serveGetObject)
	mux.HandleFunc("GET "+usersplatform.PathObjectList, p.serveObjectNames)
	return mux
}

// drawnFault is the randomly drawn fault of one request.
type drawnFault struct {
	faults      PlatformFaults
	loseRequest bool
	loseAnswer  bool
}

// drawFault counts a request, draws its fault and waits for the delay. It returns false
// if the request is to be refused.
func (p *Platform) drawFault(r *http.Request) (drawnFault, bool) {
	drawn, err := call(r.Context(), p, func(p *Platform) drawnFault {
		isWrite := r.Method != http.MethodGet
		if isWrite {
			p.counts.Writes++
		} else {
			p.counts.Reads++
		}
		return drawnFault{
			faults:      p.faults,
			loseRequest: isWrite && p.random.Float64() < p.faults.LoseRequests,
			loseAnswer:  isWrite && p.random.Float64() < p.faults.LoseAnswers,
		}
	})
	if err != nil {
		return drawn, false
	}
	select {
	case <-r.Context().Done():
		return drawn, false
	case <-time.After(drawn.faults.Delay):
	}
	return drawn, !drawn.faults.Down
}

// respond runs a function in the task with the faults in effect and returns its result.
// It returns false if it has refused the request, and aborts the connection if the
// request or its answer is lost.
func respond[R any](p *Platform, w http.ResponseWriter, r *http.Request, run func(*Platform) R) (R, bool) {
	var zero R
	drawn, available := p.drawFault(r)
	if !available {
		w.WriteHeader(http.StatusServiceUnavailable)
		return zero, false
	}
	if drawn.loseRequest {
		panic(http.ErrAbortHandler)
	}
	result, err := call(r.Context(), p, run)
	if err != nil || drawn.loseAnswer {
		panic(http.ErrAbortHandler)
	}
	return result, true
}

func (p *Platform) serveTransact(w http.ResponseWriter, r *http.Request) {
	var transaction storeTransaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	type outcome struct {
		answer    storeAnswer
		committed bool
	}
	result, ok := respond(p, w, r, func(p *Platform) outcome {
		answer, committed := p.applyTransaction(transaction)
		return outcome{answer: answer, committed: committed}
	})
	if !ok {
		return
	}
	if !result.committed {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	writeJSON(w, result.answer, nil)
}

func (p *Platform) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wantedRange := rowRange{table: query.Get("table"), part: query.Get("part"), from: query.Get("from"), to: query.Get("target"), limit: limit}
	if answer, ok := respond(p, w, r, func(p *Platform) storeAnswer { return p.readRows(wantedRange) }); ok {
		writeJSON(w, answer, nil)
	}
}

func (p *Platform) serveHostChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if answer, ok := respond(p, w, r, func(p *Platform) storeAnswer { return p.hostChanges(after) }); ok {
		writeJSON(w, answer, nil)
	}
}

// partsAnswer is the answer to a listing of partitions.
type partsAnswer struct {
	Parts []string `json:"parts"`
}

func (p *Platform) serveParts(w http.ResponseWriter, r *http.Request) {
	if parts, ok := respond(p, w, r, (*Platform).partitions); ok {
		writeJSON(w, partsAnswer{Parts: parts}, nil)
	}
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := r.PathValue("name")
	_, ok := respond(p, w, r, func(p *Platform) bool { p.objects[name] = content; return true })
	if ok {
		w.WriteHeader(http.StatusOK)
	}
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	content, ok := respond(p, w, r, func(p *Platform) []byte { return p.objects[name] })
	if !ok {
		return
	}
	if content == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(content)
}

// namesAnswer is the answer to a listing of object names.
type namesAnswer struct {
	Names []string `json:"names"`
}

func (p *Platform) serveObjectNames(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	if names, ok := respond(p, w, r, func(p *Platform) []string { return p.objectNames(prefix) }); ok {
		writeJSON(w, namesAnswer{Names: names}, nil)
	}
}
