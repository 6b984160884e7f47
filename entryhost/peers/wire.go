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

// maxDigestBytes bounds the facts in one digest. A host sends about four digests
// per second; with this bound, facts, heartbeats and framing stay below 3 KB/s.
const maxDigestBytes = 200

// maxJoinBytes bounds the facts in the answer to a host that joins.
const maxJoinBytes = 64 << 10

// maxDigestAges bounds the members in one digest. It is well above the 22 entry
// hosts of a data centre at the target size.
const maxDigestAges = 64

// Digest is the message that two entry hosts exchange in a gossip round, as the
// argument and as the answer of the call.
type Digest struct {
	From       Heartbeat
	DataCentre string
	Ages       []MemberAge
	Facts      []Fact
	// Join requests all facts of the receiver.
	Join bool
	// Push marks a digest that carries only urgent facts. Its answer carries
	// neither ages nor facts.
	Push bool
}

// methodExchange is the net/rpc method of a gossip round.
const methodExchange = "Peers.Exchange"

const (
	// nonceBytes is the size of a nonce, and of a proof (HMAC-SHA256).
	nonceBytes = 32
	// handshakeTimeout bounds the handshake on a new connection, on both sides.
	handshakeTimeout = 2 * time.Second
)

// The labels make the proofs of the two sides differ, so that a proof cannot be
// reflected to its sender.
var (
	dialLabel   = []byte("lentilpoint dial")
	acceptLabel = []byte("lentilpoint accept")
)

// authenticate runs a mutual challenge-response handshake, which shows each side
// that the other knows the shared secret. Dialed is true on the side that opened
// the connection.
func authenticate(conn net.Conn, secret []byte, dialed bool) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Error.Wrap(err)
	}
	ownNonce := make([]byte, nonceBytes)
	if _, err := rand.Read(ownNonce); err != nil {
		return Error.Wrap(err)
	}
	peerNonce, err := exchangeBlocks(conn, ownNonce)
	if err != nil {
		return err
	}
	ownLabel, peerLabel := acceptLabel, dialLabel
	if dialed {
		ownLabel, peerLabel = dialLabel, acceptLabel
	}
	proof, err := exchangeBlocks(conn, computeProof(secret, ownLabel, peerNonce, ownNonce))
	if err != nil {
		return err
	}
	if !hmac.Equal(proof, computeProof(secret, peerLabel, ownNonce, peerNonce)) {
		return Error.New("the peer does not know the shared secret; set the same --peer-secret on all entry hosts")
	}
	return Error.Wrap(conn.SetDeadline(time.Time{}))
}

// exchangeBlocks sends a nonce or a proof and receives that of the peer. Both are
// 32 bytes long.
func exchangeBlocks(conn net.Conn, sent []byte) ([]byte, error) {
	if _, err := conn.Write(sent); err != nil {
		return nil, Error.Wrap(err)
	}
	received := make([]byte, nonceBytes)
	_, err := io.ReadFull(conn, received)
	return received, Error.Wrap(err)
}

// computeProof returns the HMAC-SHA256, keyed with the secret, of the label, the
// nonce of the side that checks the proof and that of the side that sends it.
func computeProof(secret, label, challenge, proverNonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(label)
	_, _ = mac.Write(challenge)
	_, _ = mac.Write(proverNonce)
	return mac.Sum(nil)
}

// countedConn counts the bytes sent and received on a connection to a peer.
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
