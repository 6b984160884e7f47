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
	// Delay is added to every answer.
	Delay time.Duration
	// LoseAnswers is the share of writes whose answer is lost after the write
	// took effect.
	LoseAnswers float64
	// LoseRequests is the share of writes that are lost before they take effect.
	LoseRequests float64
	// HostLag is how far the host list is behind.
	HostLag time.Duration
}

// PlatformCounts counts what the platform served.
type PlatformCounts struct {
	Reads  int
	Writes int
}

// Platform is the task of the stand-in platform: table service, object store
// and host list.
type Platform struct {
	messages task.Mailbox[func(*Platform)]
	endpoint *endpoint
	random   *rand.Rand

	rows    map[string]platform.Row
	objects map[string][]byte
	hosts   []hostsAt
	faults  PlatformFaults
	counts  PlatformCounts
	version uint64
}

// hostsAt is the host list from a time on.
type hostsAt struct {
	at    time.Time
	hosts []model.Host
}

// StartPlatform starts the stand-in platform on a loopback address.
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
	go serveSteps(ctx, p, endpoint.cut)
	return p, nil
}

// URL returns the base URL of the platform.
func (p *Platform) URL() string { return "http://" + p.endpoint.address }

func (p *Platform) steps() task.Mailbox[func(*Platform)] { return p.messages }

// SetFaults replaces the faults in effect.
func (p *Platform) SetFaults(faults PlatformFaults) {
	control(p, func(p *Platform) bool { p.faults = faults; return true })
}

// Silence makes the open connections silent for good; new ones work.
func (p *Platform) Silence() {
	control(p, func(p *Platform) bool { p.endpoint.silence(); return true })
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(hosts []model.Host) {
	entry := hostsAt{at: time.Now(), hosts: slices.Clone(hosts)}
	control(p, func(p *Platform) bool { p.hosts = append(p.hosts, entry); return true })
}

// Counts returns what the platform served so far.
func (p *Platform) Counts() PlatformCounts {
	return control(p, func(p *Platform) PlatformCounts { return p.counts })
}

// Rows returns the rows whose keys start with the prefix, in order.
func (p *Platform) Rows(prefix string) []platform.Row {
	return control(p, func(p *Platform) []platform.Row { return p.scan(prefix) })
}

// Objects returns the names of all stored objects.
func (p *Platform) Objects() []string {
	return control(p, func(p *Platform) []string { return p.names("") })
}

// transact carries a transaction out, or returns the rows of its conditions.
func (p *Platform) transact(change storeTransaction) (answer storeAnswer, committed bool) {
	for _, condition := range change.Conditions {
		if row := p.rows[condition.Key]; uint64(row.Version) != condition.Version {
			return p.answer(p.conditionRows(change.Conditions)), false
		}
	}
	p.version++
	for _, put := range change.Puts {
		p.rows[put.Key] = platform.Row{Key: put.Key, Value: put.Value, Version: platform.RowVersion(p.version)}
	}
	for _, removed := range change.Remove {
		delete(p.rows, removed.Key)
	}
	return p.answer(nil), true
}

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

func (p *Platform) answer(rows []storeRow) storeAnswer {
	return storeAnswer{Rows: rows, Version: p.version}
}

// scan returns the rows with the prefix in order.
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

// rowRange is a query for rows.
type rowRange struct {
	table, part, from, to string
	limit                 int
}

// read returns the rows of a range.
func (p *Platform) read(query rowRange) storeAnswer {
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
	answer := p.answer(rows)
	if query.table == usersplatform.TableHostList {
		_, number := p.listHosts()
		answer.Version = uint64(number)
	}
	if query.limit > 0 && len(rows) > query.limit {
		answer.Rows, answer.Truncated = rows[:query.limit], true
	}
	return answer
}

func (p *Platform) names(prefix string) []string {
	names := make([]string, 0)
	for name := range p.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// listHosts returns the host list as it was before the lag, and its number.
func (p *Platform) listHosts() ([]model.Host, int) {
	hosts, number := []model.Host{}, 0
	for i, entry := range p.hosts {
		if i == 0 || time.Since(entry.at) >= p.faults.HostLag {
			hosts, number = entry.hosts, i+1
		}
	}
	return hosts, number
}

// hostRows returns a row for each host of the data centre. All rows have the
// number of the list as their version.
func (p *Platform) hostRows(dataCentre model.DataCentre) []storeRow {
	hosts, number := p.listHosts()
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

// hostChanges returns the hosts of a newer list than the one of the number. The
// host list has its own counter, since it takes effect after the lag.
func (p *Platform) hostChanges(after uint64) storeAnswer {
	_, number := p.listHosts()
	answer := storeAnswer{Rows: []storeRow{}, Version: uint64(number)}
	if uint64(number) > after {
		for _, part := range p.partitions() {
			answer.Rows = append(answer.Rows, p.hostRows(model.DataCentre(part))...)
		}
	}
	return answer
}

// partitions returns the data centres of the host list, in order.
func (p *Platform) partitions() []string {
	hosts, _ := p.listHosts()
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
	mux.HandleFunc("PUT "+usersplatform.PathObjectPut+"{name...}", p.servePut)
	mux.HandleFunc("GET "+usersplatform.PathObjectGet+"{name...}", p.serveGet)
	mux.HandleFunc("GET "+usersplatform.PathObjectList, p.serveNames)
	return mux
}

// drawnFault is the fault of one request.
type drawnFault struct {
	faults      PlatformFaults
	loseRequest bool
	loseAnswer  bool
}

func (p *Platform) draw(r *http.Request) (drawnFault, bool) {
	drawn, err := call(r.Context(), p, func(p *Platform) drawnFault {
		write := r.Method != http.MethodGet
		if write {
			p.counts.Writes++
		} else {
			p.counts.Reads++
		}
		return drawnFault{
			faults:      p.faults,
			loseRequest: write && p.random.Float64() < p.faults.LoseRequests,
			loseAnswer:  write && p.random.Float64() < p.faults.LoseAnswers,
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

// respond runs a step with the faults in effect and writes its result.
func respond[R any](p *Platform, w http.ResponseWriter, r *http.Request, run func(*Platform) R) (R, bool) {
	var zero R
	drawn, up := p.draw(r)
	if !up {
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
	var change storeTransaction
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	type outcome struct {
		answer    storeAnswer
		committed bool
	}
	result, ok := respond(p, w, r, func(p *Platform) outcome {
		answer, committed := p.transact(change)
		return outcome{answer: answer, committed: committed}
	})
	if !ok {
		return
	}
	if !result.committed {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	writeAnswer(w, result.answer, nil)
}

func (p *Platform) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wanted := rowRange{table: query.Get("table"), part: query.Get("part"), from: query.Get("from"), to: query.Get("target"), limit: limit}
	if answer, ok := respond(p, w, r, func(p *Platform) storeAnswer { return p.read(wanted) }); ok {
		writeAnswer(w, answer, nil)
	}
}

func (p *Platform) serveHostChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if answer, ok := respond(p, w, r, func(p *Platform) storeAnswer { return p.hostChanges(after) }); ok {
		writeAnswer(w, answer, nil)
	}
}

// partsAnswer is the answer to a listing of partitions.
type partsAnswer struct {
	Parts []string `json:"parts"`
}

func (p *Platform) serveParts(w http.ResponseWriter, r *http.Request) {
	if parts, ok := respond(p, w, r, (*Platform).partitions); ok {
		writeAnswer(w, partsAnswer{Parts: parts}, nil)
	}
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
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

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
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

// namesAnswer is the answer to a listing of objects.
type namesAnswer struct {
	Names []string `json:"names"`
}

func (p *Platform) serveNames(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	if names, ok := respond(p, w, r, func(p *Platform) []string { return p.names(prefix) }); ok {
		writeAnswer(w, namesAnswer{Names: names}, nil)
	}
}
