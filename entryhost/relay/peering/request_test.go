package peering

import (
	"bytes"
	"encoding/gob"
	"log/slog"
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
)

// Guards against lengths of messages that are read wrongly, so that peers of this or an
// earlier build could not call.
func TestFramesFollowTheMessagesOfGob(t *testing.T) {
	g := gomega.NewWithT(t)
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	sizes := []int{1, 100, 300, 70_000}
	for _, size := range sizes {
		g.Expect(encoder.Encode(make([]byte, size))).To(gomega.Succeed())
	}
	for _, piece := range []int{1, 3, 4096, stream.Len()} {
		var followed frames
		var large []int
		for rest := stream.Bytes(); len(rest) > 0; rest = rest[min(piece, len(rest)):] {
			content := rest[:min(piece, len(rest))]
			for length, others, found := followed.next(content); found; length, others, found = followed.next(others) {
				large = append(large, int(length))
			}
		}
		g.Expect(large).To(gomega.HaveLen(len(sizes)), "in pieces of %d", piece)
		g.Expect(large[3]).To(gomega.BeNumerically("~", 70_000, 10))
		g.Expect(followed.rest).To(gomega.BeZero())
	}
}

// Guards against a peer that announces a message of 4 GB, or one for which there is no room.
func TestAMessageWithoutRoomIsNotRead(t *testing.T) {
	for _, length := range [][]byte{{0xfb, 0xff, 0xff, 0xff, 0xff, 0xff}, {0xfd, 0x40, 0x00, 0x00}} {
		g := gomega.NewWithT(t)
		client, server := net.Pipe()
		// The task of this budget does not run, so it grants nothing.
		budget := memory.NewBudget(memory.Limits{}.Complete(), clockwork.NewRealClock(), metrics.NewSet(), slog.New(slog.DiscardHandler))
		go func() { _, _ = client.Write(length) }()
		_, err := newRequestConn(server, budget).Read(make([]byte, 16))
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("message of")))
		_, _ = client.Close(), server.Close()
	}
}
