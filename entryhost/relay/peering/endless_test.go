package peering

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/mirror"
)

// Guards against a host, or another program at its address, that sends bytes without
// end: the call must end and the connection be closed.
func TestAPeerThatSendsBytesWithoutEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	sent := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		count := 0
		// A message of gob starts with its length; 1 MB of them is never a message.
		for data := make([]byte, 1<<20); err == nil; {
			var n int
			n, err = conn.Write(data)
			count += n
		}
		sent <- count
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = fetchChanges(ctx, listener.Addr().String(), mirror.Query{Table: "t"})
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
	g.Eventually(sent, time.Second).Should(gomega.Receive(gomega.BeNumerically("<", 2*maxPeerBytes)))
}

// Guards against a connection that is read without bound.
func TestABoundedConnectionFailsBeyondItsLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	go func() {
		defer func() { _ = client.Close() }()
		_, _ = client.Write(make([]byte, 100))
	}()
	bounded := &boundedConn{Conn: server, remaining: 10}
	count, err := bounded.Read(make([]byte, 64))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(count).To(gomega.Equal(10))
	_, err = bounded.Read(make([]byte, 64))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("more than")))
}
