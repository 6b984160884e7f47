package memory

// Buffer is content whose size is not known while it arrives. Each size of it beyond
// UnclaimedBytes is claimed before it is allocated.
type Buffer struct {
	claimant Claimant
	limit    int64
	content  []byte
}

// NewBuffer returns an empty buffer for at most limit bytes.
func NewBuffer(limit int64, claimant Claimant) *Buffer {
	return &Buffer{claimant: claimant, limit: limit}
}

// Append adds a copy of the data. It returns ErrTooLarge beyond the limit and ErrNoRoom if the
// memory is used up; the buffer is unchanged then.
func (b *Buffer) Append(data []byte) error {
	needed := int64(len(b.content) + len(data))
	if needed > b.limit {
		return ErrTooLarge
	}
	for needed > int64(cap(b.content)) {
		grown, err := b.grow(needed)
		if err != nil {
			return err
		}
		b.content = grown
	}
	b.content = append(b.content, data...)
	b.claimant.Receive(len(data))
	return nil
}

func (b *Buffer) grow(needed int64) ([]byte, error) {
	if needed > UnclaimedBytes {
		return grow(b.content, b.limit, b.claimant)
	}
	size := min(max(needed, 2*int64(cap(b.content))), UnclaimedBytes)
	return append(make([]byte, 0, size), b.content...), nil
}

// Bytes returns the content, which is valid until the next call of a method.
func (b *Buffer) Bytes() []byte { return b.content }

// Discard removes the first bytes. A buffer that is empty then keeps no claimed memory.
func (b *Buffer) Discard(count int) {
	if count == len(b.content) && cap(b.content) > UnclaimedBytes {
		b.Free()
		return
	}
	b.content = b.content[:copy(b.content, b.content[count:])]
}

// Free empties the buffer and releases its memory.
func (b *Buffer) Free() {
	if held := int64(cap(b.content)); held > UnclaimedBytes {
		b.claimant.Release(held)
	}
	b.content = nil
}
