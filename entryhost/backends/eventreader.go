package backends

import (
	"bufio"
	"bytes"
	"io"
)

// eventReaderBytes is the size of the read buffer; a chunk has some 200 bytes.
const eventReaderBytes = 4 << 10

// eventReader reads the data of server-sent events. Unlike a general reader it
// copies nothing for an event that fits its buffer.
type eventReader struct {
	reader *bufio.Reader
	joined []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventReaderBytes)}
}

// next returns the data of the next event that has any; it is valid until the
// next call. Other fields and comments are skipped. An event that the end of
// the stream cuts off is dropped, as its data may be incomplete.
func (r *eventReader) next() ([]byte, error) {
	r.joined = r.joined[:0]
	found := false
	for {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && found {
			return r.joined, nil
		}
		data, isData := dataOf(line)
		if !isData {
			continue
		}
		if found {
			r.joined = append(r.joined, '\n')
		}
		found = true
		r.joined = append(r.joined, data...)
		if len(r.joined) > maxEventBytes {
			return nil, Error.New("an event is longer than %d bytes", maxEventBytes)
		}
	}
}

// dataOf returns the content of a data line.
func dataOf(line []byte) ([]byte, bool) {
	rest, found := bytes.CutPrefix(line, []byte("data:"))
	if !found {
		return nil, bytes.Equal(line, []byte("data"))
	}
	return bytes.TrimPrefix(rest, []byte(" ")), true
}

// line returns the next line without its end; it is valid until the next call.
func (r *eventReader) line() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = r.longLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

func (r *eventReader) longLine(start []byte) ([]byte, error) {
	long := bytes.Clone(start)
	for len(long) <= maxEventBytes {
		part, err := r.reader.ReadSlice('\n')
		long = append(long, part...)
		if err != bufio.ErrBufferFull {
			return long, err
		}
	}
	return nil, Error.New("an event is longer than %d bytes", maxEventBytes)
}
