package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

// maxAnswerBytes bounds what is read of one answer of the platform.
const maxAnswerBytes = 64 << 20

// Client is an HTTP client of the three services of the platform. It holds no
// state besides its connection pool.
type Client struct {
	base  string
	http  *http.Client
	token string
}

// NewClient returns a client for the platform at the base URL. A token that is
// not empty is sent as a bearer token.
func NewClient(base, token string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 8}
	return &Client{base: base, token: token, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Transact implements Table.
func (c *Client) Transact(ctx context.Context, transaction Transaction) (TransactResult, error) {
	var result TransactResult
	body, err := json.Marshal(transaction)
	if err != nil {
		return result, Error.Wrap(err)
	}
	err = c.do(ctx, http.MethodPost, PathTransact, nil, body, &result)
	return result, err
}

// Read implements Table.
func (c *Client) Read(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.do(ctx, http.MethodGet, PathRow, url.Values{"key": {key}}, nil, &row)
	return row, err
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, from string, limit int) ([]Row, error) {
	var rows RowsBody
	query := url.Values{"prefix": {prefix}, "from": {from}, "limit": {strconv.Itoa(limit)}}
	err := c.do(ctx, http.MethodGet, PathScan, query, nil, &rows)
	return rows.Rows, err
}

// Put implements Objects.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	return c.do(ctx, http.MethodPut, PathObjects+url.PathEscape(name), nil, content, nil)
}

// Get implements Objects.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	var content []byte
	err := c.do(ctx, http.MethodGet, PathObjects+url.PathEscape(name), nil, nil, &content)
	return content, err
}

// ListObjects returns the names of objects that start with the prefix.
func (c *Client) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	var names NamesBody
	err := c.do(ctx, http.MethodGet, PathList, url.Values{"prefix": {prefix}}, nil, &names)
	return names.Names, err
}

// ListHosts returns the hosts that the query selects.
func (c *Client) ListHosts(ctx context.Context, query HostQuery) (HostAnswer, error) {
	values := url.Values{}
	if query.DataCentre != "" {
		values.Set("data_centre", string(query.DataCentre))
	}
	request, err := c.request(ctx, http.MethodGet, PathHosts, values, nil)
	if err != nil {
		return HostAnswer{}, err
	}
	if query.Known != "" {
		request.Header.Set("If-None-Match", query.Known)
	}
	response, content, err := c.send(request)
	if err != nil {
		return HostAnswer{}, err
	}
	if response.StatusCode == http.StatusNotModified {
		return HostAnswer{Unchanged: true, Tag: query.Known}, nil
	}
	var body HostsBody
	err = decodeAnswer(response.StatusCode, PathHosts, content, &body)
	return HostAnswer{Tag: response.Header.Get("ETag"), Hosts: body.Hosts}, err
}

// do sends one request and decodes the answer into target, which is a JSON
// value, a byte slice for raw content, or nil.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte, target any) error {
	request, err := c.request(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	response, content, err := c.send(request)
	if err != nil {
		return err
	}
	return decodeAnswer(response.StatusCode, path, content, target)
}

func (c *Client) request(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Request, error) {
	address := c.base + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	return request, nil
}

// send returns the answer with its whole content.
func (c *Client) send(request *http.Request) (*http.Response, []byte, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, ErrUnavailable.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, ErrUnavailable.Wrap(err)
	}
	return response, content, nil
}

func decodeAnswer(status int, path string, content []byte, target any) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound.New("%s", path)
	case status == http.StatusTooManyRequests || status >= http.StatusInternalServerError:
		return ErrUnavailable.New("%s answered status %d; wait and retry", path, status)
	case status >= http.StatusBadRequest:
		return Error.New("%s answered status %d: %s; check the platform URL and token", path, status, content)
	}
	switch target := target.(type) {
	case nil:
		return nil
	case *[]byte:
		*target = content
		return nil
	default:
		return Error.Wrap(json.Unmarshal(content, target))
	}
}

// ObjectStore adapts the client to the Objects interface.
type ObjectStore struct{ *Client }

// List implements Objects.
func (o ObjectStore) List(ctx context.Context, prefix string) ([]string, error) {
	return o.ListObjects(ctx, prefix)
}

// HostList adapts the client to the Hosts interface.
type HostList struct{ *Client }

// List implements Hosts.
func (h HostList) List(ctx context.Context, query HostQuery) (HostAnswer, error) {
	return h.ListHosts(ctx, query)
}
