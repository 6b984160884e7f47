package suspects

import (
	"encoding/hex"
	"hash/fnv"
	"strings"
	"time"
)

const (
	// maxPromptParts limits the parts of a prompt that are looked at. A caller may
	// send hundreds; the first ones are those that requests share.
	maxPromptParts = 256
	// maxPartIDBytes is the length from which the id of a part is replaced by its
	// hash, since ids come from callers and are kept, sent and logged.
	maxPartIDBytes = 40
	// maxAnswered is the number of parts in each of the two generations of
	// answeredParts. 70 streams a second have 8,400 contents and last parts in
	// deathWindow; both generations stay below 3 MB.
	maxAnswered = 12288
	// trustedAfterAnswer is how long no death counts against a part that a server
	// has answered. When servers of several data centres crash at once, requests
	// with the same sound part die on many of them.
	trustedAfterAnswer = 10 * time.Second
)

// Part identifies one part of a prompt at one service, or the whole content of a request.
type Part string

// contentMark begins the parts that stand for the whole content of a request.
const contentMark = "#"

// isContent reports whether the part stands for the whole content of a request.
func (p Part) isContent() bool { return strings.HasPrefix(string(p), contentMark) }

// NewPart returns the part with the given id at a service.
func NewPart(service, id string) Part {
	if len(id) > maxPartIDBytes {
		hash := fnv.New128a()
		_, _ = hash.Write([]byte(id))
		id = "hash-" + hex.EncodeToString(hash.Sum(nil))
	}
	return Part(service + "/" + id)
}

// Prompt holds the parts of a request's prompt, each once. That of a request without one has
// its content only.
type Prompt struct {
	// Content stands for the whole content of the request, with its last part. Only hosts of
	// earlier builds leave it empty.
	Content Part
	// Shared are the parts that other requests may have too: all but the last.
	Shared []Part
	// Last is the last part.
	Last Part
}

// NewPrompt returns the prompt with the given ids of parts of a request with the
// fingerprint at a service. Parts beyond maxPromptParts are ignored.
func NewPrompt(service string, fingerprint Fingerprint, ids []string) Prompt {
	if len(ids) == 0 {
		return Prompt{Content: Part(contentMark + service + "/" + fingerprint.String())}
	}
	content := NewFingerprint(append([]string{fingerprint.String()}, ids...)...)
	prompt := Prompt{Content: Part(contentMark + service + "/" + content.String()), Last: NewPart(service, ids[len(ids)-1])}
	seen := map[Part]bool{}
	for _, id := range ids[:min(len(ids)-1, maxPromptParts)] {
		part := NewPart(service, id)
		if !seen[part] {
			seen[part] = true
			prompt.Shared = append(prompt.Shared, part)
		}
	}
	return prompt
}

// suspects returns the parts that may be the reason why servers die under the request.
func (p Prompt) suspects() []Part {
	if p.Content == "" {
		return nil
	}
	return append([]Part{p.Content}, p.Shared...)
}

// all returns all parts.
func (p Prompt) all() []Part {
	if p.Content == "" {
		return nil
	}
	if p.Last == "" {
		return p.suspects()
	}
	return append(p.suspects(), p.Last)
}

// answeredParts holds when servers last began to answer requests with a part. It has
// two generations, so that it is bounded and drops old entries without a scan: an
// answer is known for deathWindow at least, unless more than maxAnswered parts are
// answered within that time.
type answeredParts struct {
	current, previous map[Part]time.Duration
	since             time.Duration
}

func newAnsweredParts() *answeredParts {
	return &answeredParts{current: map[Part]time.Duration{}, previous: map[Part]time.Duration{}}
}

// add records that a server began to answer a request with the part.
func (a *answeredParts) add(part Part, at, now time.Duration) {
	if known, found := a.last(part); found && known > at {
		at = known
	}
	if _, found := a.current[part]; !found && (len(a.current) >= maxAnswered || now-a.since >= deathWindow) {
		a.previous, a.current, a.since = a.current, map[Part]time.Duration{}, now
	}
	a.current[part] = at
}

// last returns when a server last began to answer a request with the part.
func (a *answeredParts) last(part Part) (time.Duration, bool) {
	if at, found := a.current[part]; found {
		return at, true
	}
	at, found := a.previous[part]
	return at, found
}

// isTrusted reports whether deaths do not count against the part now.
func (a *answeredParts) isTrusted(part Part, now time.Duration) bool {
	at, found := a.last(part)
	return found && now-at < trustedAfterAnswer
}

// untrusted returns the parts against which deaths count now, at most limit.
func (a *answeredParts) untrusted(parts []Part, now time.Duration, limit int) []Part {
	var left []Part
	for _, part := range parts {
		if len(left) < limit && !a.isTrusted(part, now) {
			left = append(left, part)
		}
	}
	return left
}
