package standin

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
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
	return control(p, func(p *Platform) []platform.Row { return p.scan(prefix, "", 1<<30) })
}

// Objects returns the names of all stored objects.
func (p *Platform) Objects() []string {
	return control(p, func(p *Platform) []string { return p.names("") })
}

func (p *Platform) transact(transaction platform.Transaction) platform.TransactResult {
	var result platform.TransactResult
	for _, condition := range transaction.Conditions {
		if row := p.rows[condition.Key]; row.Version != condition.Version {
			result.Conflicts = append(result.Conflicts, platform.Row{Key: condition.Key, Value: row.Value, Version: row.Version})
		}
	}
	if len(result.Conflicts) > 0 {
		return result
	}
	result.Committed = true
	for _, write := range transaction.Writes {
		result.Versions = append(result.Versions, p.write(write))
	}
	return result
}

func (p *Platform) write(write platform.Write) platform.RowVersion {
	if write.Delete {
		delete(p.rows, write.Key)
		return 0
	}
	version := p.rows[write.Key].Version + 1
	p.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Version: version}
	return version
}

func (p *Platform) scan(prefix, from string, limit int) []platform.Row {
	rows := make([]platform.Row, 0)
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) && key >= from {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))]
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

// listHosts returns the host list as it was before the lag.
func (p *Platform) listHosts() []model.Host {
	hosts := []model.Host{}
	for i, entry := range p.hosts {
		if i == 0 || time.Since(entry.at) >= p.faults.HostLag {
			hosts = entry.hosts
		}
	}
	return hosts
}

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathTransact, p.serveTransact)
	mux.HandleFunc("GET "+platform.PathRow, p.serveRow)
	mux.HandleFunc("GET "+platform.PathScan, p.serveScan)
	mux.HandleFunc("PUT "+platform.PathObjects+"{name...}", p.servePut)
	mux.HandleFunc("GET "+platform.PathObjects+"{name...}", p.serveGet)
	mux.HandleFunc("GET "+platform.PathList, p.serveNames)
	mux.HandleFunc("GET "+platform.PathHosts, p.serveHosts)
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
	var transaction platform.Transaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if result, ok := respond(p, w, r, func(p *Platform) platform.TransactResult { return p.transact(transaction) }); ok {
		writeAnswer(w, result, nil)
	}
}

func (p *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	row, ok := respond(p, w, r, func(p *Platform) platform.Row { return p.rows[key] })
	if !ok {
		return
	}
	if row.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeAnswer(w, row, nil)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rows, ok := respond(p, w, r, func(p *Platform) []platform.Row { return p.scan(query.Get("prefix"), query.Get("from"), limit) })
	if ok {
		writeAnswer(w, platform.RowsBody{Rows: rows}, nil)
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

func (p *Platform) serveNames(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	if names, ok := respond(p, w, r, func(p *Platform) []string { return p.names(prefix) }); ok {
		writeAnswer(w, platform.NamesBody{Names: names}, nil)
	}
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, ok := respond(p, w, r, (*Platform).listHosts)
	if !ok {
		return
	}
	if wanted := model.DataCentre(r.URL.Query().Get("data_centre")); wanted != "" {
		hosts = slices.DeleteFunc(slices.Clone(hosts), func(host model.Host) bool { return host.DataCentre != wanted })
	}
	content, err := json.Marshal(platform.HostsBody{Hosts: hosts})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	tag := hostsTag(content)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", tag)
	_, _ = w.Write(content)
}

func hostsTag(content []byte) string {
	hash := fnv.New64a()
	_, _ = hash.Write(content)
	return strconv.Quote(strconv.FormatUint(hash.Sum64(), 16))
}
