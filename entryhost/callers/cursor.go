package callers

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"math"
	"strings"

	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
)

const (
	// cursorFormatVersion is the first byte of a cursor's fixed part.
	cursorFormatVersion = 1
	// organisationDigestBytes and requestDigestBytes are the lengths of the
	// digests that bind a cursor. A collision only helps a caller that has a valid
	// cursor.
	organisationDigestBytes = 8
	requestDigestBytes      = 16
	// markBytes is the length of a position and its rolling hash.
	markBytes = 4 + 8
	// macBytes is the length of the truncated HMAC-SHA256.
	macBytes = 16
	// maxCursorBytes bounds the text of a cursor that a caller sends.
	maxCursorBytes = 1024
	// cursorKeyLabel separates stream keys from any other use of the cursor keys.
	cursorKeyLabel = "lentilpoint cursor 1"
)

// cursorEncoding is strict: otherwise unused bits of the last character could
// be changed without detection.
var cursorEncoding = base64.RawURLEncoding.Strict()

// cursorBinding identifies the only request that a cursor may be used with.
type cursorBinding struct {
	organisationDigest [organisationDigestBytes]byte
	requestDigest      [requestDigestBytes]byte
}

// bindCursor returns the binding of a request: its organisation, path and body.
func bindCursor(organisation model.OrganisationID, path string, content []byte) cursorBinding {
	var binding cursorBinding
	organisationDigest := sha256.Sum256([]byte(organisation))
	copy(binding.organisationDigest[:], organisationDigest[:])
	digest := sha256.New()
	_, _ = digest.Write([]byte(path))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(content)
	copy(binding.requestDigest[:], digest.Sum(nil))
	return binding
}

// cursorStream is the fixed part of a cursor, which is the same for all tokens
// of one engine stream.
type cursorStream struct {
	binding cursorBinding
	seed    int64
	version model.Version
	source  requests.StreamSource
}

func (s cursorStream) encode() []byte {
	fixed := make([]byte, 0, 128)
	fixed = append(fixed, cursorFormatVersion)
	fixed = append(fixed, s.binding.organisationDigest[:]...)
	fixed = append(fixed, s.binding.requestDigest[:]...)
	fixed = binary.LittleEndian.AppendUint64(fixed, uint64(s.seed))
	fixed = binary.AppendUvarint(fixed, uint64(s.source.Base))
	for _, text := range []string{string(s.version), string(s.source.Server), s.source.Stream} {
		fixed = binary.AppendUvarint(fixed, uint64(len(text)))
		fixed = append(fixed, text...)
	}
	return fixed
}

func decodeCursorStream(fixed []byte) (cursorStream, bool) {
	var stream cursorStream
	const minLength = 1 + organisationDigestBytes + requestDigestBytes + 8
	if len(fixed) < minLength || fixed[0] != cursorFormatVersion {
		return stream, false
	}
	rest := fixed[1:]
	rest = rest[copy(stream.binding.organisationDigest[:], rest):]
	rest = rest[copy(stream.binding.requestDigest[:], rest):]
	stream.seed = int64(binary.LittleEndian.Uint64(rest))
	base, size := binary.Uvarint(rest[8:])
	if size <= 0 || base > math.MaxInt32 {
		return stream, false
	}
	stream.source.Base = int(base)
	rest = rest[8+size:]
	var texts [3]string
	for i := range texts {
		length, size := binary.Uvarint(rest)
		if size <= 0 || length > uint64(len(rest)-size) {
			return stream, false
		}
		texts[i] = string(rest[size : size+int(length)])
		rest = rest[size+int(length):]
	}
	stream.version = model.Version(texts[0])
	stream.source.Server = model.ServerID(texts[1])
	stream.source.Stream = texts[2]
	return stream, len(rest) == 0
}

// Cursors issues and verifies the cursors that are sent as event ids. It is
// immutable.
type Cursors struct {
	keys        map[string][]byte
	newestKeyID string
}

// NewCursors takes at least one key, the newest first. New cursors are signed
// with the newest key; older keys only verify.
func NewCursors(keys []settings.CursorKey) Cursors {
	cursors := Cursors{keys: make(map[string][]byte, len(keys)), newestKeyID: keys[0].ID}
	for _, key := range keys {
		cursors.keys[key.ID] = key.Key
	}
	return cursors
}

// streamKey derives the key of one stream, so that the MAC of each token covers
// only its position and hash.
func streamKey(key, fixed []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte(cursorKeyLabel))
	_, _ = mac.Write(fixed)
	return mac.Sum(nil)
}

// cursorWriter encodes the cursors of one stream. It reuses its buffer and is
// not safe for concurrent use.
type cursorWriter struct {
	prefix []byte
	mac    hash.Hash
	buffer []byte
}

// newWriter returns the cursor writer of one stream.
func (c Cursors) newWriter(stream cursorStream) *cursorWriter {
	fixed := stream.encode()
	prefix := append([]byte(c.newestKeyID), '.')
	prefix = cursorEncoding.AppendEncode(prefix, fixed)
	return &cursorWriter{
		prefix: append(prefix, '.'),
		mac:    hmac.New(sha256.New, streamKey(c.keys[c.newestKeyID], fixed)),
		buffer: make([]byte, 0, markBytes+sha256.Size),
	}
}

// append appends the cursor of a mark to target.
func (w *cursorWriter) append(target []byte, mark requests.Mark) []byte {
	content := appendMark(w.buffer[:0], mark)
	w.mac.Reset()
	_, _ = w.mac.Write(content)
	content = w.mac.Sum(content)
	target = append(target, w.prefix...)
	return cursorEncoding.AppendEncode(target, content[:markBytes+macBytes])
}

func appendMark(target []byte, mark requests.Mark) []byte {
	target = binary.LittleEndian.AppendUint32(target, uint32(mark.Position))
	return binary.LittleEndian.AppendUint64(target, mark.Hash)
}

// verify decodes a cursor and checks its signature and that it belongs to the
// request.
func (c Cursors) verify(text string, binding cursorBinding) (cursorStream, requests.Mark, *model.Fault) {
	parts := strings.Split(text, ".")
	if len(text) > maxCursorBytes || len(parts) != 3 {
		return cursorStream{}, requests.Mark{}, cursorInvalidFault("it does not have the form of an event id of this service")
	}
	key, found := c.keys[parts[0]]
	if !found {
		return cursorStream{}, requests.Mark{}, cursorInvalidFault("its key is not in use on this entry host")
	}
	fixed, fixedErr := cursorEncoding.DecodeString(parts[1])
	content, contentErr := cursorEncoding.DecodeString(parts[2])
	if fixedErr != nil || contentErr != nil || len(content) != markBytes+macBytes {
		return cursorStream{}, requests.Mark{}, cursorInvalidFault("it cannot be decoded")
	}
	mac := hmac.New(sha256.New, streamKey(key, fixed))
	_, _ = mac.Write(content[:markBytes])
	if !hmac.Equal(mac.Sum(nil)[:macBytes], content[markBytes:]) {
		return cursorStream{}, requests.Mark{}, cursorInvalidFault("it was changed or is not from this service")
	}
	stream, decoded := decodeCursorStream(fixed)
	if !decoded {
		return cursorStream{}, requests.Mark{}, cursorInvalidFault("it was written by an unknown release")
	}
	mark := requests.Mark{
		Position: int(binary.LittleEndian.Uint32(content)),
		Hash:     binary.LittleEndian.Uint64(content[4:]),
	}
	return stream, mark, checkBinding(stream.binding, binding)
}

func checkBinding(cursor, request cursorBinding) *model.Fault {
	if cursor.organisationDigest != request.organisationDigest {
		return cursorMismatchFault("it belongs to another organisation", "use the API key of the organisation that started the generation")
	}
	if cursor.requestDigest != request.requestDigest {
		return cursorMismatchFault("it belongs to a request with another path or body", "send the same path and body again, byte for byte")
	}
	return nil
}

func cursorInvalidFault(cause string) *model.Fault {
	fault := model.NotRun(model.KindInvalid, model.ReasonCursorInvalid,
		"Last-Event-ID is not a valid cursor: "+cause, "send the id of the last event unchanged, or send the request without Last-Event-ID")
	fault.Field = "Last-Event-ID"
	return fault
}

func cursorMismatchFault(cause, remedy string) *model.Fault {
	fault := model.NotRun(model.KindInvalid, model.ReasonCursorMismatch, "Last-Event-ID does not match the request: "+cause, remedy)
	fault.Field = "Last-Event-ID"
	return fault
}
