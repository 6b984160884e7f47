package tickets

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/model"
)

// Prefix starts every ticket and tells it from keys that callers choose.
const Prefix = "lentilpoint-ticket."

var encoding = base64.RawURLEncoding

// Issuer signs and verifies the tickets of an entry host. It is an immutable value.
type Issuer struct {
	identity claims.Identity
	key      []byte
}

// NewIssuer derives the signing key from the secret that all entry hosts share.
// Without a secret the key is drawn at start, and only this entry host can
// verify its tickets.
func NewIssuer(identity claims.Identity, secret string) Issuer {
	if secret == "" {
		return Issuer{identity: identity, key: []byte(rand.Text())}
	}
	mac := hmac.New(sha256.New, []byte(secret))
	_, _ = mac.Write([]byte("lentilpoint tickets"))
	return Issuer{identity: identity, key: mac.Sum(nil)}
}

// Identity is the incarnation that executes the issued tickets.
func (i Issuer) Identity() claims.Identity { return i.identity }

// Issue returns a new ticket for one call of the organisation.
func (i Issuer) Issue(organisation model.OrganisationID, now time.Time) (string, time.Time) {
	expires := now.Add(Lifetime)
	payload, _ := json.Marshal(Ticket{
		ID: rand.Text(), Host: i.identity.Host, Incarnation: i.identity.Incarnation,
		Organisation: organisation, Expires: expires.UnixMilli(),
	})
	text := encoding.EncodeToString(payload)
	return Prefix + text + "." + encoding.EncodeToString(i.sign(text)), expires
}

func (i Issuer) sign(text string) []byte {
	mac := hmac.New(sha256.New, i.key)
	_, _ = mac.Write([]byte(text))
	return mac.Sum(nil)
}

// IsTicket tells tickets from keys that callers choose.
func IsTicket(key string) bool { return strings.HasPrefix(key, Prefix) }

// Verify returns the content of a ticket that belongs to the organisation.
func (i Issuer) Verify(key string, organisation model.OrganisationID) (Ticket, *model.Fault) {
	var ticket Ticket
	text, signature, found := strings.Cut(strings.TrimPrefix(key, Prefix), ".")
	mac, err := encoding.DecodeString(signature)
	if !found || err != nil {
		return ticket, invalid(model.ExecutedNo, "the ticket is incomplete")
	}
	if !hmac.Equal(mac, i.sign(text)) {
		// After a change of the secret the ticket may be one that was redeemed.
		return ticket, invalid(model.ExecutedUnknown, "the signature of the ticket is not valid on this entry host")
	}
	payload, err := encoding.DecodeString(text)
	if err != nil || json.Unmarshal(payload, &ticket) != nil {
		return ticket, invalid(model.ExecutedNo, "the ticket cannot be read")
	}
	if ticket.Organisation != organisation {
		return ticket, invalid(model.ExecutedNo, "the ticket was issued to another organisation")
	}
	return ticket, nil
}
