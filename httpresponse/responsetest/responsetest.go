// Package responsetest provides stand-ins for servers that send malformed or incomplete
// responses, for the tests of all clients of servers.
package responsetest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Case is a response, or a part of one, with a name for test tables.
type Case struct {
	Name string
	Text string
}

// InvalidStatusLines are status lines, without their line end, that no valid final response has.
var InvalidStatusLines = []Case{
	{"a status of zeros", "HTTP/1.1 000 Nothing"},
	{"a status of zeros without a reason", "HTTP/1.1 000"},
	{"a status below the smallest", "HTTP/1.1 099 Low"},
	{"a status above the largest", "HTTP/1.1 600 High"},
	{"the largest number", "HTTP/1.1 999 High"},
	{"a status with a sign", "HTTP/1.1 +20 OK"},
	{"a negative status of zeros", "HTTP/1.1 -00 OK"},
	{"a status of two digits", "HTTP/1.1 20 OK"},
	{"a status of four digits", "HTTP/1.1 2000 OK"},
	{"a switch to a protocol that was not asked for", "HTTP/1.1 101 Switching Protocols"},
	{"two blanks before the status", "HTTP/1.1  200 OK"},
	{"another version of HTTP", "HTTP/2.0 200 OK"},
	{"a control byte in the reason", "HTTP/1.1 200 O\x00K"},
	{"a carriage return in the reason", "HTTP/1.1 200 OK\rX-Field: value"},
}

// InvalidFieldLines are lines, without their line end, that no valid head has among its fields.
var InvalidFieldLines = []Case{
	{"a blank within a name", "X Field: value"},
	{"a blank after a name", "X-Field : value"},
	{"a blank after the name of the length", "Content-Length : 2"},
	{"a blank after the name of the transfer encoding", "Transfer-Encoding : chunked"},
	{"a blank within the name of the transfer encoding", "Transfer- Encoding: chunked"},
	{"a tab within a name", "X-\tField: value"},
	{"a tab after a name", "X-Field\t: value"},
	{"a blank before a name", " X-Field: value"},
	{"a blank before the name of the length", " Content-Length: 2"},
	{"a tab before a name", "\tX-Field: value"},
	{"a zero byte within a name", "X-\x00Field: value"},
	{"a control byte before a name", "\x01X-Field: value"},
	{"a control byte after a name", "X-Field\x1f: value"},
	{"a delete byte within a name", "X-\x7fField: value"},
	{"a carriage return within a name", "X-\rField: value"},
	{"a byte beyond ASCII within a name", "X-F\xc3\xa4ld: value"},
	{"a separator within a name", "X-(Field): value"},
	{"no name", ": value"},
	{"no colon", "X-Field"},
	{"only blanks", "  "},
	{"a zero byte within a value", "X-Field: val\x00ue"},
	{"a carriage return within a value", "X-Field: value\rX-Other: value"},
}

// Serve starts a server on a loopback address that reads requests with their bodies and lets
// respond write the response to each. It closes a connection when respond returns false. The
// returned function stops it.
func Serve(respond func(conn net.Conn, request *http.Request) bool) (string, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go accept(listener, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil || !respond(conn, request) {
				return
			}
		}
	})
	return listener.Addr().String(), func() { _ = listener.Close() }, nil
}

// accept runs serve for each connection and closes the connection after it.
func accept(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			serve(conn)
		}()
	}
}

const (
	// UploadBytes is the size of an upload that no two sockets hold, see LargestUnread.
	UploadBytes = 8 << 20
	// receiveBuffer is the size of the receive buffer of a server that does not read uploads. The
	// kernel doubles it.
	receiveBuffer = 4 << 10
	// stallTime is how long such a server waits before it responds, so that the upload has filled
	// the buffers.
	stallTime = 20 * time.Millisecond
	// partTime is how long it waits after the response, so that the client reads it.
	partTime = 5 * time.Millisecond
)

// Ending is how a server ends a connection whose upload it has not read.
type Ending int

// The endings of a connection.
const (
	// Reset closes the connection, which resets it since received bytes were not read.
	Reset Ending = iota
	// HalfClose closes the sending side only, as a server does that still means to read.
	HalfClose
)

// Upload is what a server did with one upload.
type Upload struct {
	// Read is the number of bytes that it has read.
	Read int
}

// ServeUploads starts a server that reads the head of a request and little of its body, responds
// when the upload has stalled, and ends the connection. The channel receives a value for each
// connection before its end.
func ServeUploads(ending Ending, respond func(request *http.Request) string) (string, <-chan Upload, func(), error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return failure
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, nil, err
	}
	uploads := make(chan Upload, 64)
	go accept(listener, func(conn net.Conn) {
		counted := &countingReader{Reader: conn}
		request, err := http.ReadRequest(bufio.NewReaderSize(counted, receiveBuffer))
		if err != nil {
			return
		}
		time.Sleep(stallTime)
		_, _ = io.WriteString(conn, respond(request))
		time.Sleep(partTime)
		uploads <- Upload{Read: counted.count}
		if tcp, isTCP := conn.(*net.TCPConn); isTCP && ending == HalfClose {
			_ = tcp.CloseWrite()
			time.Sleep(time.Second)
		}
	})
	return listener.Addr().String(), uploads, func() { _ = listener.Close() }, nil
}

// ServeUnsolicited starts a server that sends a response as soon as a connection is open, before any
// request, and ends the connection without reading from it. The channel receives a value when
// the client's socket has received the end of a connection.
func ServeUnsolicited(ending Ending, response string) (string, <-chan struct{}, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, nil, err
	}
	ended := make(chan struct{}, 64)
	go accept(listener, func(conn net.Conn) {
		_, _ = io.WriteString(conn, response)
		tcp, isTCP := conn.(*net.TCPConn)
		if !isTCP || tcp.CloseWrite() != nil || waitForEndReceived(tcp) != nil {
			return
		}
		if ending == Reset {
			// A request that arrives from now on resets the connection.
			_ = tcp.Close()
		}
		ended <- struct{}{}
		if ending == HalfClose {
			time.Sleep(time.Second)
		}
	})
	return listener.Addr().String(), ended, func() { _ = listener.Close() }, nil
}

// waitForEndReceived returns when the peer's socket has received the end of a half-closed
// connection on the loopback address. Even there a segment may arrive after the call that sent it,
// and the peer may acknowledge it 40 ms later.
func waitForEndReceived(conn *net.TCPConn) error {
	const loopback, established = "0100007F", "01"
	ports := func(from, to net.Addr) string {
		return fmt.Sprintf(" %s:%04X %s:%04X ", loopback, from.(*net.TCPAddr).Port, loopback, to.(*net.TCPAddr).Port)
	}
	peer := ports(conn.RemoteAddr(), conn.LocalAddr())
	// The peer may close its socket as soon as it has the end. A single listing may lack a socket.
	for absent := 0; absent < 3; {
		sockets, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			return err
		}
		_, state, found := strings.Cut(string(sockets), peer)
		switch {
		case !found:
			absent++
		case !strings.HasPrefix(state, established):
			return nil
		default:
			absent = 0
		}
	}
	return nil
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	count int
}

// Read implements io.Reader.
func (r *countingReader) Read(buffer []byte) (int, error) {
	count, err := r.Reader.Read(buffer)
	r.count += count
	return count, err
}

// LargestUnread returns how many bytes of an upload may have left the client beyond those that
// the server has read: the largest buffer of a sending socket, and that of the server.
func LargestUnread() (int, error) {
	largest, err := largestBuffer("tcp_wmem")
	return largest + 2*receiveBuffer, err
}

// LargestBuffers returns how many bytes may have left a sender that its receiver has not read: the
// largest buffers of a sending and of a receiving socket, which the kernel sizes itself.
func LargestBuffers() (int, error) {
	sending, sendErr := largestBuffer("tcp_wmem")
	receiving, receiveErr := largestBuffer("tcp_rmem")
	return sending + receiving, errors.Join(sendErr, receiveErr)
}

func largestBuffer(setting string) (int, error) {
	content, err := os.ReadFile("/proc/sys/net/ipv4/" + setting)
	if err != nil {
		return 0, err
	}
	sizes := strings.Fields(string(content))
	return strconv.Atoi(sizes[len(sizes)-1])
}
