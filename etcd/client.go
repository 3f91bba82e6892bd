// Package etcd is a client of the platform's key-value service, which has the
// published HTTP/JSON mapping of the etcd v3 API.
//
// It covers only what the entries need: ranges, transactions with comparisons,
// leases and watches. The type of an error shows whether a write took effect. After
// [*Unreachable] and [*Rejected] it did not; after [*Uncertain] it may have.
//
// # Usage
//
//	c := etcd.New(etcd.Config{URLs: urls, Timeout: 2 * time.Second})
//	kv, err := c.Get(ctx, "almondcove/view/conf/head")
//	done, err := c.Commit(ctx, etcd.TxnRequest{
//		Compare: []etcd.Compare{etcd.Unchanged(kv)},
//		Success: []etcd.Op{etcd.OpPut("almondcove/view/conf/head", next)},
//	})
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// DefaultTimeout is the default time limit of one call.
const DefaultTimeout = 2 * time.Second

// maxResponseBytes is the largest response body that is read, except on a watch.
const maxResponseBytes = 64 << 20

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a client.
type Config struct {
	// URLs are the base URLs of the service. After a failed call the client
	// switches to the next one.
	URLs []string
	// Timeout limits one call; zero means DefaultTimeout. A watch has no limit.
	Timeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial Dial
	// OnCall, if not nil, is called with the path of each call before it is sent.
	OnCall func(path string)
}

// Client calls the service. Its methods are safe for concurrent use.
type Client struct {
	urls     []string
	urlIndex atomic.Uint32
	timeout  time.Duration
	http     *http.Client
	onCall   func(path string)
}

// New returns a client. It opens no connection.
func New(c Config) *Client {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: c.Timeout}).DialContext
	}
	if c.OnCall == nil {
		c.OnCall = func(string) {}
	}
	transport := &http.Transport{
		DialContext:         c.Dial,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{
		urls:    c.URLs,
		timeout: c.Timeout,
		http:    &http.Client{Transport: transport},
		onCall:  c.OnCall,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get reads a key. It returns a KV whose ModRevision is zero if the key does not
// exist.
func (c *Client) Get(ctx context.Context, key string) (KV, error) {
	var out RangeResponse
	err := c.call(ctx, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &out)
	if err != nil {
		return KV{}, err
	}
	if len(out.KVs) == 0 {
		return KV{Key: []byte(key)}, nil
	}
	return out.KVs[0], nil
}

// List returns all keys with the prefix, and the revision at which they were read.
func (c *Client) List(ctx context.Context, prefix string) ([]KV, int64, error) {
	var out RangeResponse
	err := c.call(ctx, "/v3/kv/range", RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}, &out)
	if err != nil {
		return nil, 0, err
	}
	return out.KVs, out.Header.Revision, nil
}

// ListAfter returns the first keys with the prefix, at most limit of them, that come after
// the key after, which has the prefix or is empty.
func (c *Client) ListAfter(ctx context.Context, prefix, after string, limit int64) (RangeResponse, error) {
	start := []byte(prefix)
	if after != "" {
		// The least key that is greater than after.
		start = append([]byte(after), 0)
	}
	var out RangeResponse
	err := c.call(ctx, "/v3/kv/range", RangeRequest{Key: start, RangeEnd: PrefixEnd(prefix), Limit: limit}, &out)
	return out, err
}

// Commit executes a transaction.
func (c *Client) Commit(ctx context.Context, txn TxnRequest) (TxnResponse, error) {
	var out TxnResponse
	err := c.call(ctx, "/v3/kv/txn", txn, &out)
	return out, err
}

// Put writes a key unconditionally.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	var out PutResponse
	return c.call(ctx, "/v3/kv/put", PutRequest{Key: []byte(key), Value: value}, &out)
}

// Delete deletes a key unconditionally.
func (c *Client) Delete(ctx context.Context, key string) error {
	var out DeleteResponse
	return c.call(ctx, "/v3/kv/deleterange", DeleteRequest{Key: []byte(key)}, &out)
}

// Grant creates a lease. It rounds ttl up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var out LeaseResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := c.call(ctx, "/v3/lease/grant", GrantRequest{TTL: seconds}, &out)
	return out.ID, err
}

// KeepAlive renews a lease. The error is *LeaseExpired if the lease has ended.
func (c *Client) KeepAlive(ctx context.Context, id int64) error {
	var out KeepAliveResponse
	if err := c.call(ctx, "/v3/lease/keepalive", LeaseRequest{ID: id}, &out); err != nil {
		return err
	}
	if out.Result == nil || out.Result.TTL <= 0 {
		return &LeaseExpired{ID: id}
	}
	return nil
}

// Revoke ends a lease and deletes the keys attached to it.
func (c *Client) Revoke(ctx context.Context, id int64) error {
	var out LeaseResponse
	return c.call(ctx, "/v3/lease/revoke", LeaseRequest{ID: id}, &out)
}

// Unchanged returns the condition that a key has not been written since it was
// read as kv.
func Unchanged(kv KV) Compare {
	return Compare{Key: kv.Key, Target: TargetMod, Result: resultEqual, ModRevision: kv.ModRevision}
}

// Absent returns the condition that a key does not exist.
func Absent(key string) Compare {
	return Compare{Key: []byte(key), Target: TargetVersion, Result: resultEqual}
}

// ValueEquals returns the condition that a key has the value.
func ValueEquals(key string, value []byte) Compare {
	return Compare{Key: []byte(key), Target: TargetValue, Result: resultEqual, Value: value}
}

// OpPut returns the operation that writes a key.
func OpPut(key string, value []byte) Op {
	return Op{Put: &PutRequest{Key: []byte(key), Value: value}}
}

// OpPutWithLease returns the operation that writes a key and attaches it to the
// lease.
func OpPutWithLease(key string, value []byte, lease int64) Op {
	return Op{Put: &PutRequest{Key: []byte(key), Value: value, Lease: lease}}
}

// OpGet returns the operation that reads a key.
func OpGet(key string) Op {
	return Op{Range: &RangeRequest{Key: []byte(key)}}
}

// OpDelete returns the operation that deletes a key.
func OpDelete(key string) Op {
	return Op{Delete: &DeleteRequest{Key: []byte(key)}}
}

// call sends one request and decodes the first JSON value of the response.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	res, err := c.post(ctx, path, in)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(out); err != nil {
		return c.failOver(&Uncertain{Path: path, Cause: err})
	}
	return nil
}

// post sends one request and returns a response with status 200. Any other status
// is an error.
func (c *Client) post(ctx context.Context, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, &Rejected{Path: path, Message: err.Error()}
	}
	if len(c.urls) == 0 {
		return nil, &Unreachable{Path: path, Cause: &NoURL{}}
	}
	c.onCall(path)
	base := c.urls[int(c.urlIndex.Load())%len(c.urls)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Rejected{Path: path, Message: err.Error()}
	}
	// Without GetBody the transport cannot resend a write on its own.
	req.GetBody = nil
	res, err := c.http.Do(req)
	if err != nil {
		return nil, c.failOver(transportError(path, err))
	}
	if res.StatusCode != http.StatusOK {
		return nil, c.failOver(statusError(path, res))
	}
	return res, nil
}

// failOver switches to the next URL and returns err.
func (c *Client) failOver(err error) error {
	c.urlIndex.Add(1)
	return err
}

// transportError distinguishes a call that was never sent from one that may have
// arrived.
func transportError(path string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &Unreachable{Path: path, Cause: err}
	}
	return &Uncertain{Path: path, Cause: err}
}

// statusError converts a response with a status other than 200 to an error.
func statusError(path string, res *http.Response) error {
	defer func() { _ = res.Body.Close() }()
	var body ErrorResponse
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&body); err != nil {
		body.Message = res.Status
	}
	if res.StatusCode >= http.StatusInternalServerError {
		// A gateway may have forwarded the call before it failed.
		return &Uncertain{Path: path, Cause: &Rejected{Path: path, Status: res.StatusCode, Message: body.Message}}
	}
	return &Rejected{Path: path, Status: res.StatusCode, Message: body.Message}
}
