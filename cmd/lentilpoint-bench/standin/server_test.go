package standin

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/lentilpoint/lentilpoint/platform"
)

func startTestServer(t *testing.T) *Server {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store, err := StartStore(ctx)
	if err != nil {
		t.Fatal(err)
	}
	server, err := StartServer(ctx, ServerOptions{Name: "s", Service: "shop", Zone: "z", Version: "v1"}, store)
	if err != nil {
		t.Fatal(err)
	}
	return server
}

func getAnswer(t *testing.T, server *Server) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+server.Address()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(platform.HeaderInstance, server.ID())
	response, err := (&http.Client{Timeout: 10 * time.Second}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(content)
}

// TestPauseLosesNothing guards against a silence that is a fault of its own: the soak
// takes a silent server for a sound one.
func TestPauseLosesNothing(t *testing.T) {
	server := startTestServer(t)
	const pause = 300 * time.Millisecond
	server.Pause(pause)
	started := time.Now()
	if _, answer := getAnswer(t, server); answer != "answer to " {
		t.Fatalf("answer %q", answer)
	}
	if waited := time.Since(started); waited < pause/2 {
		t.Fatalf("answered after %s, during the pause", waited)
	}
}

// TestUntilClose guards against answers that state a length although they are to end
// with their connection, as net/http adds one to short answers.
func TestUntilClose(t *testing.T) {
	server := startTestServer(t)
	server.SetFaults(ServerFaults{UntilClose: true})
	response, answer := getAnswer(t, server)
	if answer != "answer to " || response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || !response.Close {
		t.Fatalf("length %d, encodings %v, close %v, answer %q", response.ContentLength, response.TransferEncoding, response.Close, answer)
	}
}
