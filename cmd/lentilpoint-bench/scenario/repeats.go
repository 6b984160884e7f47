package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/entryhost/callers"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// maxOrderTries bounds the tries of one caller until its order is answered.
	maxOrderTries = 8
	// orderDeadlineMs is the X-Deadline-Ms header of each try, in milliseconds.
	orderDeadlineMs = "1500"
)

// repeatLoad describes callers that repeat orders through random entry hosts.
type repeatLoad struct {
	count  int
	spread time.Duration
	// duplicates is the share of orders that are sent through two hosts at once.
	duplicates float64
	// tickets makes callers continue with a ticket when the platform is
	// unavailable and no earlier try can have run.
	tickets bool
}

// repeatPlan is the behaviour of one caller, drawn before the run starts.
type repeatPlan struct {
	order     string
	duplicate bool
	// hosts holds the entry host of each try, then that of the duplicate and that
	// of the repeat after the answer.
	hosts []int
	// pauses holds the wait after each try.
	pauses []time.Duration
	delay  time.Duration
}

// plan draws the behaviour of the callers of one wave.
func (l repeatLoad) plan(random *rand.Rand, wave int) []repeatPlan {
	plans := make([]repeatPlan, l.count)
	for i := range plans {
		plan := repeatPlan{
			order:     fmt.Sprintf("order-%d", wave*l.count+i),
			duplicate: random.Float64() < l.duplicates,
			delay:     time.Duration(random.Int64N(int64(l.spread))),
		}
		for range maxOrderTries + 2 {
			plan.hosts = append(plan.hosts, random.IntN(1<<16))
			plan.pauses = append(plan.pauses, time.Duration(30+random.IntN(200))*time.Millisecond)
		}
		plans[i] = plan
	}
	return plans
}

// tryResult is one try, with its reason of refusal and its latency.
type tryResult struct {
	check.OrderTry
	reason  model.Reason
	latency time.Duration
	refused bool
}

// runRepeats runs all callers and returns their tries.
func runRepeats(ctx context.Context, c *cluster.Cluster, load repeatLoad, plans []repeatPlan) []tryResult {
	results := make(chan []tryResult, len(plans))
	client := cluster.NewClient("bubbles")
	defer client.Close()
	for _, plan := range plans {
		go func() {
			sleep(ctx, plan.delay)
			caller := &repeatCaller{cluster: c, client: client, plan: plan, tickets: load.tickets, key: "key-" + plan.order}
			results <- caller.run(ctx)
		}()
	}
	var tries []tryResult
	for range plans {
		tries = append(tries, <-results...)
	}
	return tries
}

// repeatCaller sends one order until it is answered or has been sent
// maxOrderTries times.
type repeatCaller struct {
	cluster *cluster.Cluster
	client  *cluster.Client
	plan    repeatPlan
	tickets bool

	key string
	// mayHaveRun is true once a try may have been executed.
	mayHaveRun bool
	results    []tryResult
}

func (r *repeatCaller) run(ctx context.Context) []tryResult {
	duplicate := make(chan tryResult, 1)
	if r.plan.duplicate {
		go func() { duplicate <- r.send(ctx, r.plan.hosts[maxOrderTries], "duplicate", r.key) }()
	}
	for i := range maxOrderTries {
		result := r.send(ctx, r.plan.hosts[i], fmt.Sprint(i), r.key)
		r.results = append(r.results, result)
		if result.AnsweredTry != "" {
			break
		}
		r.mayHaveRun = r.mayHaveRun || result.Executed != model.ExecutedNo || r.plan.duplicate
		if r.tickets && !r.mayHaveRun && result.reason == model.ReasonPlatformUnavailable {
			r.switchToTicket(ctx, r.plan.hosts[i])
		}
		sleep(ctx, r.plan.pauses[i])
	}
	// A repeat through another host must receive the same answer.
	r.results = append(r.results, r.send(ctx, r.plan.hosts[maxOrderTries+1], "after", r.key))
	if r.plan.duplicate {
		r.results = append(r.results, <-duplicate)
	}
	return r.results
}

// switchToTicket replaces the key by a ticket and directs the next tries to the
// host that issued it.
func (r *repeatCaller) switchToTicket(ctx context.Context, host int) {
	ticket, err := requestTicket(ctx, r.client, r.cluster.URL(host))
	if err != nil {
		return
	}
	r.key = ticket
	for i := range r.plan.hosts {
		r.plan.hosts[i] = host
	}
}

func requestTicket(ctx context.Context, client *cluster.Client, base string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/tickets", nil)
	if err != nil {
		return "", Error.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+cluster.APIKey(client.Organisation))
	response, err := client.HTTP.Do(request)
	if err != nil {
		return "", Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	var body struct{ Ticket string }
	err = json.NewDecoder(response.Body).Decode(&body)
	return body.Ticket, Error.Wrap(err)
}

// send sends one try and returns its result.
func (r *repeatCaller) send(ctx context.Context, host int, number, key string) tryResult {
	try := r.plan.order + "/" + number
	result := tryResult{OrderTry: check.OrderTry{Order: r.plan.order, Try: try, Executed: model.ExecutedUnknown}}
	started := time.Now()
	status, content, err := postOrder(ctx, r.client, r.cluster.URL(host), try, key)
	result.latency = time.Since(started)
	if err != nil {
		return result
	}
	if status != http.StatusOK {
		var fault callers.ErrorBody
		_ = json.Unmarshal(content, &fault)
		result.Executed, result.reason, result.refused = fault.Error.Executed, fault.Error.Reason, true
		return result
	}
	var answer struct{ Order string }
	if json.Unmarshal(content, &answer) == nil {
		result.AnsweredTry, result.Body = answer.Order, string(content)
	}
	return result
}

// postOrder sends an order, with an idempotency key unless key is empty, and
// returns the status and the body of the response.
func postOrder(ctx context.Context, client *cluster.Client, base, try, key string) (int, []byte, error) {
	address := base + "/services/" + string(cluster.ServiceOrders) + "/orders"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader([]byte(`{"wands":12}`)))
	if err != nil {
		return 0, nil, Error.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+cluster.APIKey(client.Organisation))
	request.Header.Set(standin.HeaderOrder, try)
	request.Header.Set("X-Deadline-Ms", orderDeadlineMs)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := client.HTTP.Do(request)
	if err != nil {
		return 0, nil, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, Error.Wrap(err)
}
