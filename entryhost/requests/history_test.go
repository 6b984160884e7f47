package requests

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
)

// fakeEngines simulates the dispatcher and the engines for one generation. A
// token id encodes its version and position, so that missing, repeated and
// mixed tokens are detected.
type fakeEngines struct {
	harness *generationHarness
	streams []*fakeStream
	version model.Version
}

type fakeStream struct {
	open     backends.OpenStream
	id       string
	version  model.Version
	position int
}

// expectedToken returns the id that encodes a version and position.
func expectedToken(version model.Version, position int) enginewire.TokenID {
	return enginewire.TokenID(position) + 1000*enginewire.TokenID(version[1]-'0')
}

// serveTask handles one pending message of the generation task, if any.
func (f *fakeEngines) serveTask(t *rapid.T) {
	select {
	case dispatch := <-f.harness.dispatches.C():
		f.version = dispatch.Request.Version
		if f.version == "" {
			f.version = rapid.SampledFrom([]model.Version{"v1", "v2"}).Draw(t, "version")
		}
		f.harness.nextID++
		dispatch.Reply.Send(admission.DispatchResult{Assignment: admission.Assignment{
			ID: f.harness.nextID, Server: "a", Version: f.version, Commands: f.harness.commands, Reports: f.harness.reports,
		}})
	case <-f.harness.reports.C():
	case command := <-f.harness.commands.C():
		if open, isOpen := command.(backends.OpenStream); isOpen {
			f.streams = append(f.streams, f.openStream(open))
		}
	default:
	}
}

func (f *fakeEngines) openStream(open backends.OpenStream) *fakeStream {
	for _, earlier := range f.streams {
		if open.ResumeStream != "" && earlier.id == open.ResumeStream {
			return &fakeStream{open: open, id: earlier.id, version: earlier.version, position: open.ResumeFrom + f.streamBase(earlier.id)}
		}
	}
	var prompt []enginewire.TokenID
	_ = json.Unmarshal(open.Body.Prompt, &prompt)
	return &fakeStream{
		open: open, id: string(rune('A' + len(f.streams))), version: model.Version(open.Body.Model), position: max(0, len(prompt)-1),
	}
}

// streamBase returns the position at which an engine stream began.
func (f *fakeEngines) streamBase(id string) int {
	for _, stream := range f.streams {
		if stream.id == id {
			var prompt []enginewire.TokenID
			_ = json.Unmarshal(stream.open.Body.Prompt, &prompt)
			return max(0, len(prompt)-1)
		}
	}
	return 0
}

// sendRandomEvent advances the clock, or lets one of the last three streams
// send tokens or an error. Abandoned streams send events too.
func (f *fakeEngines) sendRandomEvent(t *rapid.T, limit int) {
	if len(f.streams) == 0 {
		return
	}
	stream := f.streams[rapid.IntRange(max(0, len(f.streams)-3), len(f.streams)-1).Draw(t, "stream")]
	event := backends.StreamEvent{Attempt: stream.open.Attempt, EngineStream: stream.id, PromptIDs: []enginewire.TokenID{100}}
	switch rapid.IntRange(0, 5).Draw(t, "action") {
	case 0:
		event.Err = &backends.StreamError{Kind: rapid.SampledFrom([]backends.FailureKind{
			backends.FailureBroken, backends.FailureConnect, backends.FailureGone, backends.FailureStatus,
		}).Draw(t, "failure"), Message: "injected"}
	case 1:
		f.harness.clock.Advance(time.Duration(rapid.IntRange(100, 2500).Draw(t, "milliseconds")) * time.Millisecond)
		return
	default:
		for range rapid.IntRange(1, 3).Draw(t, "tokens") {
			if stream.position < limit {
				event.Tokens = append(event.Tokens, backends.Token{ID: expectedToken(stream.version, stream.position)})
				stream.position++
			}
		}
		if stream.position >= limit {
			event.Finish = finishLength
		}
	}
	_ = stream.open.Events.TrySend(event)
}

// TestGenerationHistories guards against missing, repeated and mixed tokens
// under any order of losses, silences, resumed streams, second attempts and
// late events of abandoned attempts. The timing of the task differs between
// runs with the same seed; the property holds for every timing.
func TestGenerationHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 20
		h := newHarness(clockwork.NewFakeClock())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		generation := Generation{Eager: rapid.Bool().Draw(t, "eager"), Deadline: time.Now().Add(time.Minute)}
		generation.Body.MaxTokens = limit
		generation.Body.Prompt = json.RawMessage(`[100]`)
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.task(ctx, generation).run()
		}()
		engines := &fakeEngines{harness: h}
		var received []enginewire.TokenID
		var last Update
		for step := 0; last.FinishReason == "" && last.Fault == nil && step < 400; step++ {
			engines.serveTask(t)
			engines.sendRandomEvent(t, limit)
			select {
			case update := <-h.updates:
				for _, token := range update.Tokens {
					received = append(received, token.ID)
				}
				last = update
			case <-time.After(100 * time.Microsecond):
			}
		}
		cancel()
		<-done
		checkHistory(t, received, last, limit)
	})
}

func checkHistory(t *rapid.T, received []enginewire.TokenID, last Update, limit int) {
	for position, id := range received {
		if version := model.Version("v" + string(rune('0'+received[0]/1000))); id != expectedToken(version, position) {
			t.Fatalf("position %d has token %d: %v", position, id, received)
		}
	}
	if last.FinishReason != "" && len(received) != limit {
		t.Fatalf("a finished answer has %d of %d tokens", len(received), limit)
	}
}
