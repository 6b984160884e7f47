package memory

import (
	"errors"
	"io"
)

const (
	// UnclaimedBytes is the part of a body that is kept without a claim. It is part of what
	// each connection may take.
	UnclaimedBytes = 4 << 10
	// smallBody always finds room. A buffer that has to grow beyond UnclaimedBytes grows to
	// this size at once, so that an ordinary request takes one claim.
	smallBody = 64 << 10
	// growth is the factor between two sizes of a larger buffer. A size beyond half of the
	// largest becomes the largest, so that at most half more than it is in use while the
	// content is copied.
	growth = 4
)

// Errors of ReadBody.
var (
	ErrNoRoom   = Error.New("the memory of this host is used up")
	ErrTooLarge = Error.New("the body is larger than the limit")
)

// Claimant claims and releases memory for one request.
type Claimant interface {
	Claim(bytes int64) bool
	Release(bytes int64)
	// Receive is told of the progress.
	Receive(bytes int)
}

// ReadBody reads a body of at most limit bytes. Length is the stated length, or negative.
// The buffer grows with the bytes that arrive, and each size is claimed before it is
// allocated: a client that states a length and sends nothing takes no memory.
func ReadBody(body io.Reader, length, limit int64, claimant Claimant) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	largest := length
	if length < 0 {
		// The end is noticed by a read beyond the last byte.
		largest = limit + 1
	}
	buffer := make([]byte, 0, max(1, min(largest, UnclaimedBytes)))
	for {
		if len(buffer) == cap(buffer) {
			grown, err := grow(buffer, largest, claimant)
			if err != nil {
				return nil, err
			}
			buffer = grown
		}
		count, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		claimant.Receive(count)
		switch {
		case int64(len(buffer)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF), int64(len(buffer)) == length:
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}

func grow(buffer []byte, largest int64, claimant Claimant) ([]byte, error) {
	former := int64(cap(buffer))
	size := max(former*growth, smallBody)
	if size > largest/2 {
		size = largest
	}
	if !claimant.Claim(size) {
		return nil, ErrNoRoom
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	if former > UnclaimedBytes {
		claimant.Release(former)
	}
	return grown, nil
}
