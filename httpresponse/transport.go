package httpresponse

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.Transport whose connections are a Conn. It is for plain HTTP only.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport with the options of base, which must not be used any more.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper. If the server has sent bytes that no request asked for,
// the request is sent on another connection; it has not been written before.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	for {
		response, err := t.roundTripOnce(request)
		if !errors.Is(err, ErrUnsolicited) {
			return response, err
		}
		// Each round ends a connection that was in use before, and a new one has no such bytes.
		next, repeatable := repeat(request)
		if !repeatable {
			return nil, err
		}
		request = next
	}
}

// repeat returns a request with a body that was not read, and whether there is one.
func repeat(request *http.Request) (*http.Request, bool) {
	if request.Body == nil || request.Body == http.NoBody {
		return request, true
	}
	if request.GetBody == nil {
		return nil, false
	}
	body, err := request.GetBody()
	if err != nil {
		return nil, false
	}
	next := *request
	next.Body = body
	return &next, true
}

// usedConn is the connection that a request uses, and its number there.
type usedConn struct {
	conn   *Conn
	number uint64
}

func (t *Transport) roundTripOnce(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[usedConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, checked := info.Conn.(*Conn); checked {
			used.Store(&usedConn{conn, conn.ExpectResponse()})
		}
	}}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	upload := trackUpload(request)
	response, err := t.base.RoundTrip(request)
	use := used.Load()
	// The parser of net/http may have failed first, at the part of a line that was passed to it.
	if err != nil && use != nil && use.conn.Failure() != nil {
		return nil, use.conn.Failure()
	}
	// The parser had read ahead what it took for this response.
	if err == nil && use != nil && use.number > 1 && use.conn.begun.Load() < use.number {
		_ = use.conn.fail(ErrUnsolicited)
		_ = use.conn.Close()
		_ = response.Body.Close()
		return nil, ErrUnsolicited
	}
	if err == nil && upload != nil && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = &uploadResponseBody{ReadCloser: response.Body, upload: upload}
	}
	return response, err
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// upload is the body of a request that is sent as it arrives. While it waits for more, no write
// shows that its connection has ended.
type upload struct {
	io.ReadCloser

	length int64
	count  int64
	// ended is set when all of the body was read.
	ended atomic.Bool
}

// trackUpload replaces the body of a request that is not in memory by an upload, which it
// returns, or nil.
func trackUpload(request *http.Request) *upload {
	if request.Body == nil || request.Body == http.NoBody || request.GetBody != nil {
		return nil
	}
	tracked := &upload{ReadCloser: request.Body, length: request.ContentLength}
	request.Body = tracked
	return tracked
}

// Read implements io.Reader.
func (u *upload) Read(buffer []byte) (int, error) {
	count, err := u.ReadCloser.Read(buffer)
	u.count += int64(count)
	if errors.Is(err, io.EOF) || u.length > 0 && u.count >= u.length {
		u.ended.Store(true)
	}
	return count, err
}

// uploadResponseBody is the body of a response to an upload that ends with its connection.
type uploadResponseBody struct {
	io.ReadCloser

	upload *upload
}

// Read implements io.Reader.
func (b *uploadResponseBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) && !b.upload.ended.Load() {
		err = ErrIncomplete
	}
	return count, err
}
