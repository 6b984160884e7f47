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
	// cursorFormat is the first byte of a cursor's fixed part.
	cursorFormat = 1
	// organisationBytes and bodyBytes are the lengths of the digests that bind a
	// cursor. A collision only matters to a caller that has a valid cursor.
	organisationBytes = 8
	bodyBytes         = 16
	// markBytes is the length of a position and its rolling hash.
	markBytes = 4 + 8
	// macBytes is the length of the truncated HMAC-SHA256.
	macBytes = 16
	// maxCursorBytes bounds a cursor that a caller sends.
	maxCursorBytes = 1024
	// cursorLabel separates this use of the keys from any other.
	cursorLabel = "lentilpoint cursor 1"
)

// cursorEncoding is strict: unused bits of the last character could otherwise be
// changed without notice.
var cursorEncoding = base64.RawURLEncoding.Strict()

// cursorBinding is what a cursor may only be used with.
type cursorBinding struct {
	organisation [organisationBytes]byte
	body         [bodyBytes]byte
}

// bindCursor returns the binding of a request: its organisation, path and body.
func bindCursor(organisation model.OrganisationID, path string, content []byte) cursorBinding {
	var binding cursorBinding
	owner := sha256.Sum256([]byte(organisation))
	copy(binding.organisation[:], owner[:])
	digest := sha256.New()
	_, _ = digest.Write([]byte(path))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(content)
	copy(binding.body[:], digest.Sum(nil))
	return binding
}

// cursorStream is the part of a cursor that is the same for all tokens of one
// engine stream.
type cursorStream struct {
	binding cursorBinding
	seed    int64
	version model.Version
	source  requests.Source
}

func (s cursorStream) encode() []byte {
	fixed := make([]byte, 0, 128)
	fixed = append(fixed, cursorFormat)
	fixed = append(fixed, s.binding.organisation[:]...)
	fixed = append(fixed, s.binding.body[:]...)
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
	const head = 1 + organisationBytes + bodyBytes + 8
	if len(fixed) < head || fixed[0] != cursorFormat {
		return stream, false
	}
	rest := fixed[1:]
	rest = rest[copy(stream.binding.organisation[:], rest):]
	rest = rest[copy(stream.binding.body[:], rest):]
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

// Cursors issues and checks the cursors that event ids carry. It is immutable.
type Cursors struct {
	keys   map[string][]byte
	newest string
}

// NewCursors returns the cursors of these keys, newest first; new cursors use
// the newest key and older keys only check.
func NewCursors(keys []settings.CursorKey) Cursors {
	cursors := Cursors{keys: make(map[string][]byte, len(keys)), newest: keys[0].ID}
	for _, key := range keys {
		cursors.keys[key.ID] = key.Key
	}
	return cursors
}

// streamKey derives the key of one stream, so that each token authenticates
// only its position and hash.
func streamKey(key, fixed []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte(cursorLabel))
	_, _ = mac.Write(fixed)
	return mac.Sum(nil)
}

// cursorWriter writes the cursors of one stream.
type cursorWriter struct {
	prefix []byte
	mac    hash.Hash
	sum    []byte
}

// writer returns the writer of one stream.
func (c Cursors) writer(stream cursorStream) *cursorWriter {
	fixed := stream.encode()
	prefix := append([]byte(c.newest), '.')
	prefix = cursorEncoding.AppendEncode(prefix, fixed)
	return &cursorWriter{
		prefix: append(prefix, '.'),
		mac:    hmac.New(sha256.New, streamKey(c.keys[c.newest], fixed)),
		sum:    make([]byte, 0, markBytes+sha256.Size),
	}
}

// append writes the cursor of a mark.
func (w *cursorWriter) append(target []byte, mark requests.Mark) []byte {
	content := appendMark(w.sum[:0], mark)
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

// read checks a cursor against the request that it came with.
func (c Cursors) read(text string, binding cursorBinding) (cursorStream, requests.Mark, *model.Fault) {
	parts := strings.Split(text, ".")
	if len(text) > maxCursorBytes || len(parts) != 3 {
		return cursorStream{}, requests.Mark{}, cursorInvalid("it does not have the form of an event id of this service")
	}
	key, found := c.keys[parts[0]]
	if !found {
		return cursorStream{}, requests.Mark{}, cursorInvalid("its key is not in use on this entry host")
	}
	fixed, fixedErr := cursorEncoding.DecodeString(parts[1])
	content, contentErr := cursorEncoding.DecodeString(parts[2])
	if fixedErr != nil || contentErr != nil || len(content) != markBytes+macBytes {
		return cursorStream{}, requests.Mark{}, cursorInvalid("it cannot be decoded")
	}
	mac := hmac.New(sha256.New, streamKey(key, fixed))
	_, _ = mac.Write(content[:markBytes])
	if !hmac.Equal(mac.Sum(nil)[:macBytes], content[markBytes:]) {
		return cursorStream{}, requests.Mark{}, cursorInvalid("it was changed or is not from this service")
	}
	stream, decoded := decodeCursorStream(fixed)
	if !decoded {
		return cursorStream{}, requests.Mark{}, cursorInvalid("it was written by an unknown release")
	}
	mark := requests.Mark{
		Position: int(binary.LittleEndian.Uint32(content)),
		Hash:     binary.LittleEndian.Uint64(content[4:]),
	}
	return stream, mark, checkBinding(stream.binding, binding)
}

func checkBinding(cursor, request cursorBinding) *model.Fault {
	if cursor.organisation != request.organisation {
		return cursorMismatch("it belongs to another organisation", "use the API key of the organisation that started the generation")
	}
	if cursor.body != request.body {
		return cursorMismatch("it belongs to a request with another path or body", "send the same path and body again, byte for byte")
	}
	return nil
}

func cursorInvalid(why string) *model.Fault {
	fault := model.NotRun(model.KindInvalid, model.ReasonCursorInvalid,
		"Last-Event-ID is not a valid cursor: "+why, "send the id of the last event unchanged, or send the request without Last-Event-ID")
	fault.Field = "Last-Event-ID"
	return fault
}

func cursorMismatch(why, remedy string) *model.Fault {
	fault := model.NotRun(model.KindInvalid, model.ReasonCursorMismatch, "Last-Event-ID does not match the request: "+why, remedy)
	fault.Field = "Last-Event-ID"
	return fault
}
