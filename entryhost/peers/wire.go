package peers

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxDigestBytes bounds the facts of one digest. A host sends about four digests
// a second, so that facts, heartbeats and framing together stay below 3 KB/s.
const maxDigestBytes = 200

// maxJoinBytes bounds the facts that a host receives when it joins.
const maxJoinBytes = 64 << 10

// maxAges bounds the members in one digest: well above the 22 entry hosts of a
// data centre at the target size.
const maxAges = 64

// Digest is what two entry hosts exchange in a round.
type Digest struct {
	From       Heartbeat
	DataCentre string
	Ages       []MemberAge
	Facts      []Fact
	// Join asks for all facts.
	Join bool
	// Push carries urgent facts only; its answer is empty.
	Push bool
}

// methodExchange is the net/rpc method of a gossip round.
const methodExchange = "Peers.Exchange"

const (
	nonceBytes       = 32
	handshakeTimeout = 2 * time.Second
)

// The labels keep the two sides' proofs different, so that a proof cannot be
// reflected to its sender.
var (
	dialLabel   = []byte("lentilpoint dial")
	acceptLabel = []byte("lentilpoint accept")
)

// authenticate proves to both sides that the other knows the shared secret.
func authenticate(conn net.Conn, secret []byte, dialed bool) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Error.Wrap(err)
	}
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return Error.Wrap(err)
	}
	theirs, err := swap(conn, own)
	if err != nil {
		return err
	}
	ownLabel, theirLabel := acceptLabel, dialLabel
	if dialed {
		ownLabel, theirLabel = dialLabel, acceptLabel
	}
	proof, err := swap(conn, prove(secret, ownLabel, theirs, own))
	if err != nil {
		return err
	}
	if !hmac.Equal(proof, prove(secret, theirLabel, own, theirs)) {
		return Error.New("the peer does not know the shared secret; set the same --peer-secret on all entry hosts")
	}
	return Error.Wrap(conn.SetDeadline(time.Time{}))
}

// swap sends 32 bytes and receives 32 bytes.
func swap(conn net.Conn, sent []byte) ([]byte, error) {
	if _, err := conn.Write(sent); err != nil {
		return nil, Error.Wrap(err)
	}
	received := make([]byte, nonceBytes)
	_, err := io.ReadFull(conn, received)
	return received, Error.Wrap(err)
}

func prove(secret, label, challenge, own []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(label)
	_, _ = mac.Write(challenge)
	_, _ = mac.Write(own)
	return mac.Sum(nil)
}

// countedConn counts the bytes of a connection between entry hosts.
type countedConn struct {
	net.Conn
	sent     *metrics.Counter
	received *metrics.Counter
}

// Write implements net.Conn.
func (c countedConn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.sent.Add(n)
	return n, err
}

// Read implements net.Conn.
func (c countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.received.Add(n)
	return n, err
}
