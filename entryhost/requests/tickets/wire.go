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

// Prefix starts every ticket and distinguishes it from keys that callers
// choose.
const Prefix = "lentilpoint-ticket."

var ticketEncoding = base64.RawURLEncoding

// Issuer signs and verifies the tickets of an entry host. It is an immutable value.
type Issuer struct {
	identity claims.Identity
	key      []byte
}

// NewIssuer derives the signing key from the secret that all entry hosts share.
// Without a secret the key is random, and only this entry host can verify its
// tickets until it restarts.
func NewIssuer(identity claims.Identity, secret string) Issuer {
	if secret == "" {
		return Issuer{identity: identity, key: []byte(rand.Text())}
	}
	mac := hmac.New(sha256.New, []byte(secret))
	_, _ = mac.Write([]byte("lentilpoint tickets"))
	return Issuer{identity: identity, key: mac.Sum(nil)}
}

// Identity returns the incarnation that executes the issued tickets.
func (i Issuer) Identity() claims.Identity { return i.identity }

// Issue returns a new ticket for one call of the organisation, and its expiry.
func (i Issuer) Issue(organisation model.OrganisationID, now time.Time) (string, time.Time) {
	expires := now.Add(Lifetime)
	payload, _ := json.Marshal(Ticket{
		ID: rand.Text(), Host: i.identity.Host, Incarnation: i.identity.Incarnation,
		Organisation: organisation, Expires: expires.UnixMilli(),
	})
	encodedPayload := ticketEncoding.EncodeToString(payload)
	return Prefix + encodedPayload + "." + ticketEncoding.EncodeToString(i.sign(encodedPayload)), expires
}

func (i Issuer) sign(encodedPayload string) []byte {
	mac := hmac.New(sha256.New, i.key)
	_, _ = mac.Write([]byte(encodedPayload))
	return mac.Sum(nil)
}

// IsTicket reports whether the key is a ticket rather than a key that the
// caller chose.
func IsTicket(key string) bool { return strings.HasPrefix(key, Prefix) }

// Verify checks the signature and the organisation of a ticket and returns its
// payload. It does not check the expiry.
func (i Issuer) Verify(key string, organisation model.OrganisationID) (Ticket, *model.Fault) {
	var ticket Ticket
	encodedPayload, signature, found := strings.Cut(strings.TrimPrefix(key, Prefix), ".")
	mac, err := ticketEncoding.DecodeString(signature)
	if !found || err != nil {
		return ticket, ticketInvalidFault(model.ExecutedNo, "the ticket is incomplete")
	}
	if !hmac.Equal(mac, i.sign(encodedPayload)) {
		// If the secret was changed, the ticket may have been redeemed before.
		return ticket, ticketInvalidFault(model.ExecutedUnknown, "the signature of the ticket is not valid on this entry host")
	}
	payload, err := ticketEncoding.DecodeString(encodedPayload)
	if err != nil || json.Unmarshal(payload, &ticket) != nil {
		return ticket, ticketInvalidFault(model.ExecutedNo, "the ticket cannot be read")
	}
	if ticket.Organisation != organisation {
		return ticket, ticketInvalidFault(model.ExecutedNo, "the ticket was issued to another organisation")
	}
	return ticket, nil
}
