// Package etcd speaks to the platform's key-value service through the
// published HTTP/JSON mapping of the etcd v3 API.
//
// Only what the entries need is covered: ranges, transactions guarded by
// comparisons, leases and watches. Every error says whether a write may have
// taken effect: [*Unreachable] and [*Rejected] mean that it did not,
// [*Uncertain] that it may have.
//
// # Usage
//
//	c := etcd.New(etcd.Config{URLs: urls, Timeout: 2 * time.Second})
//	kv, err := c.Get(ctx, "almondcove/view/conf/head")
//	done, err := c.Commit(ctx, etcd.TxnRequest{
//		Compare: []etcd.Compare{etcd.Unchanged(kv)},
//		Success: []etcd.Op{etcd.Put("almondcove/view/conf/head", next)},
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

// DefaultTimeout bounds one call.
const DefaultTimeout = 2 * time.Second

// maxAnswer bounds the size of one answer.
const maxAnswer = 64 << 20

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a client.
type Config struct {
	// URLs are the service's base URLs. After a failed call the next is used.
	URLs []string
	// Timeout bounds one call; zero means DefaultTimeout.
	Timeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial Dial
	// Called is told of each call, by its path; nil is allowed.
	Called func(path string)
}

// Client calls the service. Its methods may be called from any goroutine.
type Client struct {
	urls    []string
	turn    atomic.Uint32
	timeout time.Duration
	http    *http.Client
	called  func(path string)
}

// New returns a client. It opens no connection.
func New(c Config) *Client {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: c.Timeout}).DialContext
	}
	if c.Called == nil {
		c.Called = func(string) {}
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
		called:  c.Called,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get returns the key, or a KV with a Mod of zero when there is none.
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

// List returns all keys with the prefix and the revision at which they were read.
func (c *Client) List(ctx context.Context, prefix string) ([]KV, int64, error) {
	var out RangeResponse
	err := c.call(ctx, "/v3/kv/range", RangeRequest{Key: []byte(prefix), End: PrefixEnd(prefix)}, &out)
	if err != nil {
		return nil, 0, err
	}
	return out.KVs, out.Header.Revision, nil
}

// Commit runs a transaction.
func (c *Client) Commit(ctx context.Context, txn TxnRequest) (TxnResponse, error) {
	var out TxnResponse
	err := c.call(ctx, "/v3/kv/txn", txn, &out)
	return out, err
}

// Put writes a key without a condition.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	var out PutResponse
	return c.call(ctx, "/v3/kv/put", PutRequest{Key: []byte(key), Value: value}, &out)
}

// Delete deletes a key without a condition.
func (c *Client) Delete(ctx context.Context, key string) error {
	var out DeleteResponse
	return c.call(ctx, "/v3/kv/deleterange", DeleteRequest{Key: []byte(key)}, &out)
}

// Grant creates a lease of at least a second.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var out LeaseResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := c.call(ctx, "/v3/lease/grant", GrantRequest{TTL: seconds}, &out)
	return out.ID, err
}

// KeepAlive renews a lease. A lease that has ended gives *Lapsed.
func (c *Client) KeepAlive(ctx context.Context, id int64) error {
	var out KeepAliveResponse
	if err := c.call(ctx, "/v3/lease/keepalive", LeaseRequest{ID: id}, &out); err != nil {
		return err
	}
	if out.Result == nil || out.Result.TTL <= 0 {
		return &Lapsed{ID: id}
	}
	return nil
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, id int64) error {
	var out LeaseResponse
	return c.call(ctx, "/v3/lease/revoke", LeaseRequest{ID: id}, &out)
}

// Unchanged is the condition that a key is as it was read.
func Unchanged(kv KV) Compare {
	return Compare{Key: kv.Key, Target: TargetMod, Result: resultEqual, Mod: kv.Mod}
}

// Absent is the condition that a key does not exist.
func Absent(key string) Compare {
	return Compare{Key: []byte(key), Target: TargetVersion, Result: resultEqual}
}

// Holds is the condition that a key has the value.
func Holds(key string, value []byte) Compare {
	return Compare{Key: []byte(key), Target: TargetValue, Result: resultEqual, Value: value}
}

// Put is the operation that writes a key.
func Put(key string, value []byte) Op {
	return Op{Put: &PutRequest{Key: []byte(key), Value: value}}
}

// PutLeased is the operation that writes a key that ends with the lease.
func PutLeased(key string, value []byte, lease int64) Op {
	return Op{Put: &PutRequest{Key: []byte(key), Value: value, Lease: lease}}
}

// Read is the operation that reads a key.
func Read(key string) Op {
	return Op{Range: &RangeRequest{Key: []byte(key)}}
}

// Remove is the operation that deletes a key.
func Remove(key string) Op {
	return Op{Delete: &DeleteRequest{Key: []byte(key)}}
}

// call sends one request and decodes the first JSON value of the answer.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	res, err := c.post(ctx, path, in)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswer)).Decode(out); err != nil {
		return c.failed(&Uncertain{Path: path, Cause: err})
	}
	return nil
}

// post sends one request and returns an answer with status 200.
func (c *Client) post(ctx context.Context, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, &Rejected{Path: path, Message: err.Error()}
	}
	if len(c.urls) == 0 {
		return nil, &Unreachable{Path: path, Cause: &NoURL{}}
	}
	c.called(path)
	base := c.urls[int(c.turn.Load())%len(c.urls)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Rejected{Path: path, Message: err.Error()}
	}
	// Without GetBody the transport can't send a write twice by itself.
	req.GetBody = nil
	res, err := c.http.Do(req)
	if err != nil {
		return nil, c.failed(classify(path, err))
	}
	if res.StatusCode != http.StatusOK {
		return nil, c.failed(refusal(path, res))
	}
	return res, nil
}

// failed moves on to the next URL.
func (c *Client) failed(err error) error {
	c.turn.Add(1)
	return err
}

// classify tells a call that was never sent from one that may have arrived.
func classify(path string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &Unreachable{Path: path, Cause: err}
	}
	return &Uncertain{Path: path, Cause: err}
}

func refusal(path string, res *http.Response) error {
	defer func() { _ = res.Body.Close() }()
	var body ErrorResponse
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswer)).Decode(&body); err != nil {
		body.Message = res.Status
	}
	if res.StatusCode >= http.StatusInternalServerError {
		// A gateway may have passed the call on before it failed.
		return &Uncertain{Path: path, Cause: &Rejected{Path: path, Status: res.StatusCode, Message: body.Message}}
	}
	return &Rejected{Path: path, Status: res.StatusCode, Message: body.Message}
}
