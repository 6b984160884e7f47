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

// maxAnswerBytes bounds an answer; a configuration of the target size takes 2 MB.
const maxAnswerBytes = 64 << 20

// client calls the operator API of the first server that answers.
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
			return nil, usage(Error.New("--ca-file cannot be read: %v", err))
		}
		pool, err := x509.SystemCertPool()
		if err != nil {
			pool = x509.NewCertPool()
		}
		if !pool.AppendCertsFromPEM(content) {
			return nil, usage(Error.New("--ca-file holds no certificate; name a PEM file"))
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &client{servers: g.servers, token: g.token, timeout: g.timeout, http: &http.Client{Transport: transport}}, nil
}

func (c *client) get(ctx context.Context, path string, query url.Values, answer any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.do(ctx, http.MethodGet, path, nil, answer)
}

func (c *client) post(ctx context.Context, path string, body, answer any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return Error.Wrap(err)
	}
	return c.do(ctx, http.MethodPost, path, content, answer)
}

// do tries the servers in turn. Every change carries the id of its commit, so
// sending it again after a lost answer takes effect at most once. Each try gets
// an equal part of the time that is left.
func (c *client) do(ctx context.Context, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var failures []string
	var last error
	sent := false
	for i, server := range c.servers {
		deadline, _ := ctx.Deadline()
		tryContext, cancelTry := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(len(c.servers)-i))
		err := c.try(tryContext, server, method, path, body, answer)
		cancelTry()
		if err == nil || !tryNext(err) {
			return err
		}
		last = err
		sent = sent || errors.Is(err, errAnswerLost)
		failures = append(failures, fmt.Sprintf("%s: %v", server, err))
	}
	return noServer(method, sent, last, failures)
}

// errNoConnection and errAnswerLost tell a server that was not reached from one
// that may have acted.
var (
	errNoConnection = errors.New("no answer")
	errAnswerLost   = errors.New("answer lost")
)

// tryNext reports whether another server may do better.
func tryNext(err error) bool {
	if errors.Is(err, errNoConnection) || errors.Is(err, errAnswerLost) {
		return true
	}
	var refused *refusal
	return errors.As(err, &refused) && (refused.detail.Kind == model.KindUnavailable || refused.detail.Kind == model.KindUnknown)
}

// noServer returns the error after the last server. A change that may have
// reached a server has an unknown outcome.
func noServer(method string, sent bool, last error, failures []string) error {
	var refused *refusal
	if errors.As(last, &refused) && !sent {
		return last
	}
	detail := operators.ErrorDetail{
		Kind: model.KindUnavailable, Reason: model.ReasonNotReady, Executed: model.ExecutedNo,
		Message: "no server answered: " + strings.Join(failures, "; "), Remedy: "check --server, or name another one",
	}
	if sent && method != http.MethodGet {
		detail.Kind, detail.Reason, detail.Executed = model.KindUnknown, model.ReasonOutcomeUnknown, model.ExecutedUnknown
		detail.Remedy = "look with: lentilpoint config history, before repeating the change"
	}
	return &refusal{detail: detail}
}

func (c *client) try(ctx context.Context, server, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(server, "/")+path, bytes.NewReader(body))
	if err != nil {
		return usage(Error.New("--server %q is not a URL; write it as in http://10.0.0.7:8090", server))
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return lost(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return lost(err)
	}
	if response.StatusCode != http.StatusOK {
		return decodeRefusal(response.StatusCode, content)
	}
	return Error.Wrap(json.Unmarshal(content, answer))
}

// lost tells a failed connection, after which nothing was sent, from a failure
// after it.
func lost(err error) error {
	var operation *net.OpError
	var certificate *tls.CertificateVerificationError
	if errors.As(err, &operation) && operation.Op == "dial" || errors.As(err, &certificate) {
		return fmt.Errorf("%w: %v", errNoConnection, err)
	}
	return fmt.Errorf("%w: %v", errAnswerLost, err)
}

func decodeRefusal(status int, content []byte) error {
	var body operators.ErrorBody
	if err := json.Unmarshal(content, &body); err != nil || body.Error.Kind == "" {
		return &refusal{detail: operators.ErrorDetail{
			Kind: model.KindInternal, Reason: model.ReasonTaskFailed, Executed: model.ExecutedUnknown,
			Message: fmt.Sprintf("the server answered status %d without an explanation", status), Remedy: "check that --server is an operator API",
		}}
	}
	return &refusal{detail: body.Error}
}
