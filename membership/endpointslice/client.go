package endpointslice

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"curlewmux/internal/host"
)

// Client is the way to one API server. It may be used by several sources at once; they share its connections.
type Client struct {
	access Access
	host   host.Host

	mu   sync.Mutex
	http *http.Client // nil: requests go by the host alone
	pems [][]byte     // what http was made from
}

// NewClient makes a client; its error wraps ErrAccess and names what is wrong with the access.
func NewClient(a Access) (*Client, error) {
	if err := a.Check(); err != nil {
		return nil, err
	}
	c := &Client{access: a, host: host.System{}}
	if err := c.renew(); err != nil {
		return nil, err
	}
	return c, nil
}

// NewClientWithHost makes a client whose sources run on a host, such as a simulated one. It speaks plain HTTP, one request to a
// connection.
func NewClientWithHost(h host.Host, a Access) (*Client, error) {
	if err := a.Check(); err != nil {
		return nil, err
	}
	if !strings.HasPrefix(a.Server, "http://") {
		return nil, fmt.Errorf("%w: server: %.200q: only http:// goes by a host", ErrAccess, a.Server)
	}
	return &Client{access: a, host: h}, nil
}

// renew reads the CAs and the client's certificate anew. Connections that are open go on with the old ones.
func (c *Client) renew() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	ca, cert, key, err := c.access.pems()
	if err != nil {
		return err
	}
	now := [][]byte{ca, cert, key}
	if c.http != nil && slices.EqualFunc(now, c.pems, bytes.Equal) {
		return nil
	}
	config, err := c.access.tlsConfig()
	if err != nil {
		return err
	}
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	c.pems = now
	c.http = &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: config, ForceAttemptHTTP2: true, DisableCompression: true,
			DialContext:         (&net.Dialer{Timeout: connectLimit}).DialContext,
			TLSHandshakeTimeout: 5 * time.Second, IdleConnTimeout: 90 * time.Second, MaxIdleConnsPerHost: 4,
			MaxResponseHeaderBytes: 64 << 10,
			// A cut that says nothing is noticed by unanswered pings; over HTTP/1.1 by the watch's own limit on silence.
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: 15 * time.Second, PingTimeout: 10 * time.Second, MaxReceiveBufferPerStream: 1 << 20,
			},
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, // the token stays here
	}
	return nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	if h := c.client(); h != nil {
		h.CloseIdleConnections()
	}
}

func (c *Client) client() *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http
}

// StatusError is an API server's answer that is no success.
type StatusError struct {
	Code       int
	Reason     string
	Message    string
	Cause      string
	RetryAfter time.Duration // 0 if not told
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("API server: %d %s: %.300s", e.Code, e.Reason, e.Message)
}

// gone tells whether the version that was asked for can't be had: it is no longer known, or not yet.
func (e *StatusError) gone() bool {
	return e.Code == http.StatusGone || e.Reason == "Expired" || e.Reason == "Gone" || e.Cause == "ResourceVersionTooLarge" ||
		strings.Contains(e.Message, "Too large resource version") // before 1.18 without a cause
}

const (
	mostStatus   = 64 << 10 // bytes read of an error's body
	connectLimit = 5 * time.Second
)

// get starts a request and returns its answer's body if it is a success. It ends with the request, also while the body is
// read.
func (c *Client) get(r *request, path string, query url.Values) (io.ReadCloser, error) {
	token, err := c.access.token()
	if err != nil {
		return nil, err
	}
	to := strings.TrimSuffix(c.access.Server, "/") + path + "?" + query.Encode()
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, to, nil)
	if err != nil {
		return nil, fmt.Errorf("API server: %w", err)
	}
	req.Header.Set("Accept", "application/json")
	req.Header.Set("User-Agent", "curlewmux")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := c.do(req, &r.abort)
	if err != nil && c.client() == nil {
		return nil, fmt.Errorf("API server: %w", err)
	}
	if err != nil {
		// The CAs or our certificate may have rotated; if so the next try gets the new ones.
		var e net.Error
		if r.ctx.Err() == nil && !(errors.As(err, &e) && e.Timeout()) {
			if err := c.renew(); err != nil {
				return nil, err
			}
		}
		return nil, fmt.Errorf("API server: %w", err)
	}
	if res.StatusCode == http.StatusOK {
		return res.Body, nil
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, mostStatus))
	if err != nil {
		return nil, fmt.Errorf("API server: status %d: %w", res.StatusCode, err)
	}
	se := &StatusError{Code: res.StatusCode, Message: http.StatusText(res.StatusCode)}
	if o, err := decodeSlice(text); err == nil && o.Kind == "Status" { // else it is no API server that answers
		se = statusError(&o)
		se.Code = res.StatusCode
	}
	if n, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && n > 0 {
		se.RetryAfter = time.Duration(n) * time.Second
	}
	return nil, se
}

// do sends a request. Without a client of package http it goes on a connection of its own: that package's transport starts
// goroutines and waits at channels, which a simulated host does not bear.
func (c *Client) do(req *http.Request, abort *host.Abort) (*http.Response, error) {
	if h := c.client(); h != nil {
		return h.Do(req)
	}
	addr := req.URL.Host
	if req.URL.Port() == "" {
		addr = net.JoinHostPort(req.URL.Hostname(), "80")
	}
	conn, err := c.host.Dial(addr, connectLimit, abort)
	if err != nil {
		return nil, err
	}
	abort.On(func() { conn.Close() })
	var text bytes.Buffer
	if err := req.Write(&text); err != nil { // into memory: in this the package may use goroutines, too
		return nil, errors.Join(err, conn.Close())
	}
	if _, err := conn.Write(text.Bytes()); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	res.Body = &connBody{Reader: res.Body, conn: conn}
	return res, nil
}

// connBody is a body whose connection ends with it: what is left of it is not read.
type connBody struct {
	io.Reader
	conn net.Conn
}

func (b *connBody) Close() error { return b.conn.Close() }

func statusError(o *object) *StatusError {
	return &StatusError{
		Code: o.Status.Code, Reason: o.Status.Reason, Message: o.Status.Message, Cause: o.Status.Cause,
		RetryAfter: time.Duration(max(0, o.Status.RetryAfter)) * time.Second,
	}
}
