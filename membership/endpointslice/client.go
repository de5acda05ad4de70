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

// Client makes requests to one API server. Several sources may use it at once and share its connections.
type Client struct {
	access Access
	host   host.Host

	mu           sync.Mutex
	http         *http.Client // nil: requests go through host
	certificates [][]byte     // certificates that http was created with
}

// NewClient creates a client. Its error wraps ErrAccess and says what is wrong with the access.
func NewClient(a Access) (*Client, error) {
	if err := a.Check(); err != nil {
		return nil, err
	}
	c := &Client{access: a, host: host.System{}}
	if err := c.reloadCertificates(); err != nil {
		return nil, err
	}
	return c, nil
}

// NewClientWithHost creates a client whose sources run on the given host, which may be simulated. It uses plain HTTP and a
// new connection for each request.
func NewClientWithHost(h host.Host, a Access) (*Client, error) {
	if err := a.Check(); err != nil {
		return nil, err
	}
	if !strings.HasPrefix(a.Server, "http://") {
		return nil, fmt.Errorf("%w: server: %.200q: only http:// is supported with a custom host", ErrAccess, a.Server)
	}
	return &Client{access: a, host: h}, nil
}

// reloadCertificates reloads the CAs and the client certificate. Connections in use keep the old ones.
func (c *Client) reloadCertificates() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	ca, cert, key, err := c.access.certificates()
	if err != nil {
		return err
	}
	current := [][]byte{ca, cert, key}
	if c.http != nil && slices.EqualFunc(current, c.certificates, bytes.Equal) {
		return nil
	}
	config, err := c.access.tlsConfig()
	if err != nil {
		return err
	}
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	c.certificates = current
	c.http = &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: config, ForceAttemptHTTP2: true, DisableCompression: true,
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			TLSHandshakeTimeout: 5 * time.Second, IdleConnTimeout: 90 * time.Second, MaxIdleConnsPerHost: 4,
			MaxResponseHeaderBytes: 64 << 10,
			// Pings detect a connection that is cut without a notice. Over HTTP/1.1 the idle timeout of the watch does.
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: 15 * time.Second, PingTimeout: 10 * time.Second, MaxReceiveBufferPerStream: 1 << 20,
			},
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, // a redirect must not receive the token
	}
	return nil
}

// Close closes idle connections.
func (c *Client) Close() {
	if h := c.httpClient(); h != nil {
		h.CloseIdleConnections()
	}
}

func (c *Client) httpClient() *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http
}

// StatusError is an error response of an API server.
type StatusError struct {
	Code       int
	Reason     string
	Message    string
	Cause      string
	RetryAfter time.Duration // 0 if not set
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("API server: %d %s: %.300s", e.Code, e.Reason, e.Message)
}

// versionUnavailable reports whether the requested resource version is unavailable, because it has expired or is still in
// the future.
func (e *StatusError) versionUnavailable() bool {
	return e.Code == http.StatusGone || e.Reason == "Expired" || e.Reason == "Gone" || e.Cause == "ResourceVersionTooLarge" ||
		strings.Contains(e.Message, "Too large resource version") // API servers before 1.18 send no cause
}

const (
	maxErrorBytes  = 64 << 10 // bytes of an error body that are read
	connectTimeout = 5 * time.Second
)

// get sends a request and returns the body of a successful response. Ending r aborts the request, also while the body is
// being read.
func (c *Client) get(r *request, path string, query url.Values) (io.ReadCloser, error) {
	token, err := c.access.token()
	if err != nil {
		return nil, err
	}
	target := strings.TrimSuffix(c.access.Server, "/") + path + "?" + query.Encode()
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("API server: %w", err)
	}
	req.Header.Set("Accept", "application/json")
	req.Header.Set("User-Agent", "curlewmux")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := c.do(req, &r.abort)
	if err != nil && c.httpClient() == nil {
		return nil, fmt.Errorf("API server: %w", err)
	}
	if err != nil {
		// The CAs or the client certificate may have been rotated. The next attempt then uses the new ones.
		var e net.Error
		if r.ctx.Err() == nil && !(errors.As(err, &e) && e.Timeout()) {
			if err := c.reloadCertificates(); err != nil {
				return nil, err
			}
		}
		return nil, fmt.Errorf("API server: %w", err)
	}
	if res.StatusCode == http.StatusOK {
		return res.Body, nil
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil {
		return nil, fmt.Errorf("API server: status %d: %w", res.StatusCode, err)
	}
	se := &StatusError{Code: res.StatusCode, Message: http.StatusText(res.StatusCode)}
	if o, err := decodeSlice(text); err == nil && o.Kind == "Status" { // otherwise the response does not come from an API server
		se = statusError(&o)
		se.Code = res.StatusCode
	}
	if n, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && n > 0 {
		se.RetryAfter = time.Duration(n) * time.Second
	}
	return nil, se
}

// do sends a request. Without an http.Client it opens a connection for the request alone, since http.Transport starts
// goroutines and waits on channels, which a simulated host does not support.
func (c *Client) do(req *http.Request, abort *host.Abort) (*http.Response, error) {
	if h := c.httpClient(); h != nil {
		return h.Do(req)
	}
	addr := req.URL.Host
	if req.URL.Port() == "" {
		addr = net.JoinHostPort(req.URL.Hostname(), "80")
	}
	conn, err := c.host.Dial(addr, connectTimeout, abort)
	if err != nil {
		return nil, err
	}
	abort.On(func() { conn.Close() })
	var text bytes.Buffer
	if err := req.Write(&text); err != nil { // writes to memory, where goroutines of package http do no harm
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

// connBody is a response body that closes its connection when it is closed. The rest of the body is not read.
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
