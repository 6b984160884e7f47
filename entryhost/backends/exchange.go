package backends

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// trackSent returns the request with a trace, and a function that reports whether
// any byte of it may have been written to a connection.
func trackSent(request *http.Request) (*http.Request, func() bool) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		// Bytes may be written as soon as a connection is obtained; WroteHeaders
		// is called only after that.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	return request.WithContext(httptrace.WithClientTrace(request.Context(), trace)), sent.Load
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
	tracked, sent := trackSent(request)
	response, err := e.client.Do(tracked)
	if err == nil {
		return ExchangeHead{Status: response.StatusCode, Header: response.Header, Body: response.Body}
	}
	failure := transportFailure(err, sent())
	if failure.Kind == FailureBroken && e.open.Context.Err() != nil {
		failure.Message = context.Cause(e.open.Context).Error()
	}
	return ExchangeHead{Err: failure}
}
