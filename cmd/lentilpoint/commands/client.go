package commands

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/operators"
	"github.com/lentilpoint/lentilpoint/model"
)

// maxAnswerBytes limits the size of a response; a configuration of the target size
// takes 2 MB.
const maxAnswerBytes = 64 << 20

// client calls the operator API of the first server that responds. timeout limits a
// call over all servers.
type client struct {
	servers []string
	token   string
	timeout time.Duration
	http    *http.Client
}

func (g *globals) client() (*client, error) {
	transport := &http.Transport{}
	if g.caFile != "" {
		content, err := os.ReadFile(g.caFile)
		if err != nil {
			return nil, asUsageError(Error.New("--ca-file cannot be read: %v", err))
		}
		pool, err := x509.SystemCertPool()
		if err != nil {
			pool = x509.NewCertPool()
		}
		if !pool.AppendCertsFromPEM(content) {
			return nil, asUsageError(Error.New("--ca-file holds no certificate; name a PEM file"))
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &client{servers: g.servers, token: g.token, timeout: g.timeout, http: &http.Client{Transport: transport}}, nil
}

func (c *client) get(ctx context.Context, path string, query url.Values, answer any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.call(ctx, http.MethodGet, path, nil, answer)
}

func (c *client) post(ctx context.Context, path string, body, answer any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return Error.Wrap(err)
	}
	return c.call(ctx, http.MethodPost, path, content, answer)
}

// call tries the servers in turn. Every change carries the id of its commit, so
// a retry after a lost response takes effect at most once. Each attempt gets an
// equal part of the remaining time.
func (c *client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var attemptErrors []string
	var lastErr error
	possiblySent := false
	for i, server := range c.servers {
		deadline, _ := ctx.Deadline()
		attemptContext, cancelAttempt := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(len(c.servers)-i))
		err := c.callServer(attemptContext, server, method, path, body, answer)
		cancelAttempt()
		if err == nil || !shouldTryNextServer(err) {
			return err
		}
		lastErr = err
		possiblySent = possiblySent || errors.Is(err, errResponseLost)
		attemptErrors = append(attemptErrors, fmt.Sprintf("%s: %v", server, err))
	}
	return noServerError(method, possiblySent, lastErr, attemptErrors)
}

// errNoConnection means that no request was sent, errResponseLost that the server
// may have executed the request.
var (
	errNoConnection = errors.New("no answer")
	errResponseLost = errors.New("answer lost")
)

// shouldTryNextServer reports whether another server may succeed after this error.
func shouldTryNextServer(err error) bool {
	if errors.Is(err, errNoConnection) || errors.Is(err, errResponseLost) {
		return true
	}
	var requestErr *requestError
	return errors.As(err, &requestErr) && (requestErr.detail.Kind == model.KindUnavailable || requestErr.detail.Kind == model.KindUnknown)
}

// noServerError returns the error of a call that no server answered. A change that
// may have reached a server has an unknown outcome.
func noServerError(method string, possiblySent bool, lastErr error, attemptErrors []string) error {
	var requestErr *requestError
	if errors.As(lastErr, &requestErr) && !possiblySent {
		return lastErr
	}
	detail := operators.ErrorDetail{
		Kind: model.KindUnavailable, Reason: model.ReasonNotReady, Executed: model.ExecutedNo,
		Message: "no server answered: " + strings.Join(attemptErrors, "; "), Remedy: "check --server, or name another one",
	}
	if possiblySent && method != http.MethodGet {
		detail.Kind, detail.Reason, detail.Executed = model.KindUnknown, model.ReasonOutcomeUnknown, model.ExecutedUnknown
		detail.Remedy = "look with: lentilpoint config history, before repeating the change"
	}
	return &requestError{detail: detail}
}

// callServer sends one request to one server and decodes the response into answer.
func (c *client) callServer(ctx context.Context, server, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(server, "/")+path, bytes.NewReader(body))
	if err != nil {
		return asUsageError(Error.New("--server %q is not a URL; write it as in http://10.0.0.7:8090", server))
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return classifyTransportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return classifyTransportError(err)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response.StatusCode, content)
	}
	return Error.Wrap(json.Unmarshal(content, answer))
}

// classifyTransportError distinguishes a failed connection, over which nothing was
// sent, from a failure after the connection was established.
func classifyTransportError(err error) error {
	var networkErr *net.OpError
	var certificateErr *tls.CertificateVerificationError
	if errors.As(err, &networkErr) && networkErr.Op == "dial" || errors.As(err, &certificateErr) {
		return fmt.Errorf("%w: %v", errNoConnection, err)
	}
	return fmt.Errorf("%w: %v", errResponseLost, err)
}

// decodeError returns the error in a response with a status other than 200.
func decodeError(status int, content []byte) error {
	var body operators.ErrorBody
	if err := json.Unmarshal(content, &body); err != nil || body.Error.Kind == "" {
		return &requestError{detail: operators.ErrorDetail{
			Kind: model.KindInternal, Reason: model.ReasonTaskFailed, Executed: model.ExecutedUnknown,
			Message: fmt.Sprintf("the server answered status %d without an explanation", status), Remedy: "check that --server is an operator API",
		}}
	}
	return &requestError{detail: body.Error}
}
