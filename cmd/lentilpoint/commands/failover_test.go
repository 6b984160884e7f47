package commands_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint/commands"
	"github.com/lentilpoint/lentilpoint/entryhost/operators"
	"github.com/lentilpoint/lentilpoint/model"
)

// cuttingServer answers reads with an empty configuration and cuts the
// connection after it received a change, as a host that dies then.
func cuttingServer(seen chan<- string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_ = json.NewEncoder(w).Encode(operators.ConfigurationBody{Revision: 1})
			return
		}
		var body operators.CommitBody
		_ = json.NewDecoder(r.Body).Decode(&body)
		seen <- body.ID
		panic(http.ErrAbortHandler)
	}))
	DeferCleanup(server.Close)
	return server.URL
}

var _ = Describe("a change whose answer is lost", func() {
	add := func(servers ...string) result {
		arguments := []string{"organisations", "add", "stalls", "--token", token, "--timeout", "3s"}
		for _, server := range servers {
			arguments = append(arguments, "--server", server)
		}
		return runWith(nil, "", arguments...)
	}

	It("is sent to the next server with the same commit id", func() {
		seen := make(chan string, 4)
		Expect(add(cuttingServer(seen), cuttingServer(seen)).code).To(Equal(commands.ExitUnknown))
		Expect(<-seen).To(Equal(<-seen), "two ids could commit the change twice")
	})

	It("has an unknown outcome, also when the next server is not reached, and its key is shown", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		closed := fmt.Sprintf("http://%s", listener.Addr())
		Expect(listener.Close()).To(Succeed())
		r := add(cuttingServer(make(chan string, 4)), closed)
		Expect(r.code).To(Equal(commands.ExitUnknown), r.err)
		Expect(r.err).To(ContainSubstring("config history"))
		Expect(r.out).To(ContainSubstring("lp-"), "the key exists nowhere else")
		Expect(add(closed).code).To(Equal(commands.ExitUnavailable))
	})
})

var _ = Describe("exit codes", func() {
	It("exist for every kind of error, so that scripts can tell them apart", func() {
		for _, kind := range []model.Kind{
			model.KindInvalid, model.KindUnauthorised, model.KindNotFound, model.KindConflict, model.KindOverloaded,
			model.KindUnavailable, model.KindDeadline, model.KindUnknown, model.KindInternal,
		} {
			Expect(commands.ExitCode(&model.Fault{Kind: kind})).To(BeNumerically(">", commands.ExitDone), string(kind))
		}
	})
})
