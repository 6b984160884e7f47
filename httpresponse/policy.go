package httpresponse

import (
	"fmt"
	"strings"
)

// headChecker checks the bytes of a response up to the end of its head. Informational heads
// before it count as part of it.
type headChecker struct {
	part headPart
	// size is the number of bytes checked so far.
	size int
	// position is that of the next byte in the status line, and status the code read so far.
	position int
	status   int
	// afterCR is set if the last byte was a carriage return.
	afterCR bool
}

// headPart is the part of a head that the next byte belongs to.
type headPart int

const (
	partStatusLine headPart = iota
	// partLineStart is the start of a field or of the empty line that ends a head.
	partLineStart
	partName
	partValue
	// partEnded is the state after the head. The bytes that follow are not checked.
	partEnded
)

const (
	statusPrefix = "HTTP/1."
	// versionEnd, codeStart and codeEnd are positions in a status line such as HTTP/1.1 200.
	versionEnd = len(statusPrefix) + 1
	codeStart  = versionEnd + 1
	codeEnd    = codeStart + 3
	// switchingProtocols ends the use of HTTP on a connection. No client here asks for that.
	switchingProtocols = 101
	// firstFinalStatus is the smallest status of a head that is not informational.
	firstFinalStatus = 200
)

// check checks further bytes. It returns the number of bytes before the first one that is
// not allowed, and an error if there is one.
func (h *headChecker) check(data []byte) (int, error) {
	for i, next := range data {
		if h.part == partEnded {
			break
		}
		h.size++
		if h.size > MaxHeadBytes {
			return i, ErrHeadTooLong
		}
		if err := h.add(next); err != nil {
			return i, err
		}
	}
	return len(data), nil
}

func (h *headChecker) add(next byte) error {
	switch {
	case next == '\n':
		h.afterCR = false
		return h.endLine()
	case h.afterCR:
		return malformed("a carriage return stands within a line")
	case next == '\r':
		h.afterCR = true
		return nil
	case h.part == partStatusLine:
		return h.addToStatusLine(next)
	}
	return h.addToField(next)
}

func (h *headChecker) addToStatusLine(next byte) error {
	at := h.position
	h.position++
	switch {
	case at < len(statusPrefix):
		if next != statusPrefix[at] {
			return malformed("it does not begin with a status line of HTTP/1")
		}
	case at < versionEnd:
		if !isDigit(next) {
			return malformed("the status line has no version")
		}
	case at == versionEnd, at == codeEnd:
		if next != ' ' {
			return malformed("the status line has no status code of three digits")
		}
	case at < codeEnd:
		return h.addToStatus(next, at == codeEnd-1)
	case isControl(next):
		return malformed("the status line holds the byte %#02x", next)
	}
	return nil
}

// addToStatus adds a digit of the status code. A code outside of 100 to 599 is invalid, so the
// first digit decides.
func (h *headChecker) addToStatus(next byte, last bool) error {
	if !isDigit(next) {
		return malformed("the status code holds the byte %#02x", next)
	}
	h.status = h.status*10 + int(next-'0')
	switch {
	case h.status == 0, h.status > 5 && h.status < 10:
		return malformed("the status code is not between 100 and 599")
	case last && h.status == switchingProtocols:
		return malformed("it switches to a protocol that was not asked for")
	}
	return nil
}

// addToField adds a byte of a field. A blank before or after a name is rejected like one within
// it: a parser may take the line for a part of the field before, or miss how long the body is.
func (h *headChecker) addToField(next byte) error {
	switch {
	case h.part == partValue && isControl(next):
		return malformed("the value of a field holds the byte %#02x", next)
	case h.part == partValue:
		return nil
	case h.part == partName && next == ':':
		h.part = partValue
		return nil
	case !isTokenByte(next):
		return malformed("the name of a field holds the byte %#02x", next)
	}
	h.part = partName
	return nil
}

func (h *headChecker) endLine() error {
	switch {
	case h.part == partStatusLine && h.position < codeEnd:
		return malformed("the status line ends before its status code")
	case h.part == partName:
		return malformed("a field has no colon")
	case h.part == partLineStart:
		h.endHead()
		return nil
	}
	h.part = partLineStart
	return nil
}

// endHead ends a head. An informational one is followed by another head.
func (h *headChecker) endHead() {
	if h.status >= firstFinalStatus {
		h.part = partEnded
		return
	}
	*h = headChecker{size: h.size}
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isTokenByte reports whether the name of a field may hold the byte.
func isTokenByte(b byte) bool {
	return isDigit(b) || 'a' <= b|0x20 && b|0x20 <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isControl reports whether the byte is a control character other than a tab.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

func malformed(format string, values ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, values...))
}
