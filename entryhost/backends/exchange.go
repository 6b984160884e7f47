package backends

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// usedConnection is the connection that a request was given.
type usedConnection struct{ atomic.Pointer[net.Conn] }

// sent reports whether any byte of the request may have been written.
func (u *usedConnection) sent() bool { return u.Load() != nil }

// trackConnection returns the request with a trace that records its connection.
func trackConnection(request *http.Request) (*http.Request, *usedConnection) {
	used := &usedConnection{}
	trace := &httptrace.ClientTrace{
		// Bytes may be written as soon as a connection is obtained; WroteHeaders
		// is called only after that.
		GotConn: func(info httptrace.GotConnInfo) { used.Store(&info.Conn) },
	}
	return request.WithContext(httptrace.WithClientTrace(request.Context(), trace)), used
}

// answerBody is the body of an answer. Closing it before its end closes the connection:
// net/http of Go 1.27 would read the rest of up to 256 KB, for up to 50 ms, to reuse the
// connection.
type answerBody struct {
	io.ReadCloser

	connection *usedConnection
	ended      bool
}

// Read implements io.Reader.
func (b *answerBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	b.ended = b.ended || err != nil
	return count, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if !b.ended {
		_ = (*b.connection.Load()).Close()
	}
	return b.ReadCloser.Close()
}

// exchangeTask owns one connection to a plain service for one call.
type exchangeTask struct {
	client  *http.Client
	address string
	open    OpenExchange
}

func (e *exchangeTask) run() {
	e.open.Reply.Send(e.exchange())
}

func (e *exchangeTask) exchange() ExchangeHead {
	request, err := http.NewRequestWithContext(e.open.Context, e.open.Method, "http://"+e.address+e.open.Path, e.open.Body)
	if err != nil {
		return ExchangeHead{Err: &StreamError{Kind: FailureInvalid, Message: err.Error()}}
	}
	request.Header = e.open.Header
	request.ContentLength = e.open.ContentLength
	if e.open.ContentLength == 0 {
		request.Body = http.NoBody
	}
	tracked, used := trackConnection(request)
	response, err := e.client.Do(tracked)
	if err == nil {
		return ExchangeHead{Status: response.StatusCode, Header: response.Header, Body: &answerBody{ReadCloser: response.Body, connection: used}}
	}
	failure := transportFailure(err, used.sent())
	if failure.Kind == FailureBroken && e.open.Context.Err() != nil {
		failure.Message = context.Cause(e.open.Context).Error()
	}
	return ExchangeHead{Err: failure}
}
