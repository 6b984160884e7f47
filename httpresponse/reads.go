package httpresponse

import "sync"

// readState tells a writer what the reader of a connection does.
type readState struct {
	mutex   *sync.Mutex
	changed *sync.Cond
	// reading is set while the reader waits for bytes.
	reading bool
	// closed is set when nothing more is read.
	closed bool
	// consumed is the number of bytes that reads have returned.
	consumed uint64
}

func newReadState() readState {
	mutex := new(sync.Mutex)
	return readState{mutex: mutex, changed: sync.NewCond(mutex)}
}

func (s *readState) start() {
	s.mutex.Lock()
	s.reading = true
	s.mutex.Unlock()
	s.changed.Broadcast()
}

// end records a read that returned a number of bytes, or the end of the connection.
func (s *readState) end(count int, closed bool) {
	s.mutex.Lock()
	s.reading = false
	s.closed = s.closed || closed
	s.consumed += uint64(count)
	s.mutex.Unlock()
	s.changed.Broadcast()
}

func (s *readState) close() {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	s.changed.Broadcast()
}

// waitForStart returns when the reader waits for bytes, or when nothing more is read. It returns
// the number of bytes consumed at that moment: a read that ends later adds those that it returns.
func (s *readState) waitForStart() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for !s.reading && !s.closed {
		s.changed.Wait()
	}
	return s.consumed
}
