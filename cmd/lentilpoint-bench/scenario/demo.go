package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

// Demo is the scenario of the demo command. It is not part of All.
var Demo = Scenario{
	Name: "demo", Description: "generations and orders while engines are killed",
	Baselines: []string{BaselineRestart, BaselineNoResume}, Run: runDemo,
}

func runDemo(ctx context.Context, parameters Parameters) (Report, error) {
	random := rand.New(rand.NewPCG(parameters.Seed, 11))
	c, err := cluster.Start(ctx, cluster.Options{
		Seed: parameters.Seed, EntryHosts: 4, Engines: 6, PlainServers: 1, HostOptions: recoveryOptions(parameters.Policy),
	})
	if err != nil {
		return Report{}, err
	}
	defer c.Stop()
	parameters.progress("started %s", c.Describe())
	load := generationLoad{count: 60, tokens: 400, promptWords: 60, spread: 2 * time.Second, organisations: twoOrganisations}
	planned := load.plan(random)
	orders := planOrders(random, 30, 3*time.Second, twoOrganisations)
	orderResults := make(chan []check.OrderResult, 1)
	go func() { orderResults <- runOrders(ctx, c, orders) }()
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		injectIntoEngines(ctx, c, random, 5, func(engine *standin.Engine) {
			parameters.progress("killing %s", engine.ID())
			killEngineFor(engine, 300*time.Millisecond)
		})
	}()
	results := runGenerations(ctx, c, planned)
	orderHistory := <-orderResults
	<-faults
	violations := tokenViolations(results, cluster.VersionOne, check.CompleteTokens)
	violations.Add(check.Orders(orderHistory, c.Executions()))
	figures := recoveryFigures(c, results)
	figures["orders"] = float64(len(orderHistory))
	figures["orders_executed"] = float64(len(c.Executions()))
	return Report{Violations: violations, Figures: figures}, nil
}

// DemoSummary returns the text that the demo command prints about a run, without
// a final newline.
func DemoSummary(report Report) string {
	var text strings.Builder
	figure := func(name string) int { return int(report.Figures[name]) }
	fmt.Fprintf(&text, "generations  %d sent, %d finished, %d tokens delivered\n",
		figure("generations"), figure("generations_finished"), figure("tokens_delivered"))
	fmt.Fprintf(&text, "orders       %d sent, %d executed\n", figure("orders"), figure("orders_executed"))
	fmt.Fprintf(&text, "recovery     longest gap between tokens: p95 %.0f ms, worst %.0f ms\n",
		report.Figures["longest_gap_p95_ms"], report.Figures["longest_gap_max_ms"])
	fmt.Fprintf(&text, "guarantees   %d missing, %d repeated, %d mixed tokens; %d lost and %d cut answers; %d double executions; %d false \"not run\"\n",
		report.Violations[check.MissingTokens], report.Violations[check.RepeatedTokens], report.Violations[check.MixedTokens],
		report.Violations[check.LostAnswers], report.Violations[check.CutAnswers], report.Violations[check.DoubleExecutions], report.Violations[check.FalseNotRun])
	verdict := "every guarantee held"
	if report.Violations.Total() > 0 {
		verdict = fmt.Sprintf("%d violations", report.Violations.Total())
	}
	fmt.Fprintf(&text, "verdict      %s (seed %d, policy %s)", verdict, report.Seed, report.Policy)
	return text.String()
}
