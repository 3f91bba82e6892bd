package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"almondcove/delay"
	"almondcove/etcd"
	"almondcove/task"
)

// Times and sizes of claims.
const (
	// claimGenerationLength is the length of a generation of claims. A claim is
	// found for at least one generation and kept for less than four.
	claimGenerationLength = 10 * time.Minute
	// maxClaimBatch bounds the claims written in one transaction.
	maxClaimBatch = 100
	// claimResolveTimeout bounds the reads that find out whether claims were
	// written when the answer to the write is lost.
	claimResolveTimeout = 2 * time.Second
)

// claim is the stored record that binds an idempotency key to the one VM where
// its task may run. It moves to another VM only by compare-and-swap, after the
// first VM has proved that the task did not run there and never will.
type claim struct {
	// Entry is the name of the entry that wrote the claim.
	Entry string `json:"entry"`
	// ID is the task's id on the VM.
	ID task.ID `json:"id"`
	VM string  `json:"vm"`
	// Address and Boot identify the run of the VM's process.
	Address netip.AddrPort `json:"address"`
	Boot    string         `json:"boot"`
	// Body is the SHA-256 of the request's body, in hex.
	Body string `json:"body"`
	// Nonce identifies the write, so that its writer can recognize the record
	// after a lost answer.
	Nonce string `json:"nonce"`
}

// claimRequest is a request to write one claim.
type claimRequest struct {
	// name identifies the task among all claims.
	name  string
	value []byte
	nonce string
	// replaces is the location of the claim to replace; the zero value means a
	// new claim.
	replaces claimLocation
	reply    chan claimReply
}

// claimLocation is the key of a claim in the platform and the revision at which
// it was last written. A write replaces the claim only if that revision is still
// the latest one of the key.
type claimLocation struct {
	key string
	// modRevision is the modification revision of the key; zero means no claim.
	modRevision int64
}

// claimReply is the result of a claimRequest.
type claimReply struct {
	// location is where the platform now holds the task's claim.
	location claimLocation
	// other is the claim of another request, if that request holds the idempotency
	// key. When other and err are nil, the request's own claim was written.
	other *claim
	err   error
}

// claimWriter writes claims to the platform in batches, one transaction at a time.
type claimWriter struct {
	entry    *Entry
	requests chan *claimRequest
}

func newClaimWriter(e *Entry) *claimWriter {
	return &claimWriter{entry: e, requests: make(chan *claimRequest, maxClaimBatch)}
}

// submit queues one claim to be written and waits for the reply.
func (c *claimWriter) submit(ctx context.Context, req *claimRequest) claimReply {
	req.reply = make(chan claimReply, 1)
	select {
	case c.requests <- req:
	case <-ctx.Done():
		return claimReply{err: ctx.Err()}
	}
	select {
	case r := <-req.reply:
		return r
	case <-ctx.Done():
		return claimReply{err: ctx.Err()}
	}
}

// run writes batches until ctx ends.
func (c *claimWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.requests:
			c.writeBatch(ctx, c.collectBatch(first))
		}
	}
}

// collectBatch returns first and the requests that are queued now. Two requests
// for the same task go into different batches.
func (c *claimWriter) collectBatch(first *claimRequest) []*claimRequest {
	batch := []*claimRequest{first}
	names := map[string]bool{first.name: true}
	for len(batch) < maxClaimBatch {
		select {
		case req := <-c.requests:
			if names[req.name] {
				go func() { c.requests <- req }()
				return batch
			}
			names[req.name] = true
			batch = append(batch, req)
		default:
			return batch
		}
	}
	return batch
}

// writeBatch runs one transaction for the batch and replies to every request.
func (c *claimWriter) writeBatch(ctx context.Context, batch []*claimRequest) {
	var txn etcd.TxnRequest
	for _, req := range batch {
		txn.Success = append(txn.Success, etcd.Op{Txn: c.writeTxn(req)})
	}
	done, err := c.entry.platform.Commit(ctx, txn)
	if err == nil && len(done.Responses) == len(batch) {
		for i, req := range batch {
			req.reply <- committedReply(txn.Success[i].Txn, done.Responses[i].Txn, done.Header.Revision)
		}
		return
	}
	if _, ok := errors.Into[*etcd.Uncertain](err); ok {
		c.resolve(ctx, batch, err)
		return
	}
	replyToAll(batch, claimReply{err: err})
}

func replyToAll(batch []*claimRequest, r claimReply) {
	for _, req := range batch {
		req.reply <- r
	}
}

// writeTxn returns the transaction that writes one claim: it replaces the claim
// that the request names, or adds a new one when none of the generations that
// are searched holds a claim for the task.
func (c *claimWriter) writeTxn(req *claimRequest) *etcd.TxnRequest {
	if req.replaces.modRevision != 0 {
		return &etcd.TxnRequest{
			Compare: []etcd.Compare{etcd.Unchanged(etcd.KV{Key: []byte(req.replaces.key), ModRevision: req.replaces.modRevision})},
			Success: []etcd.Op{etcd.OpPut(req.replaces.key, req.value)},
			Failure: []etcd.Op{etcd.OpGet(req.replaces.key)},
		}
	}
	t := &etcd.TxnRequest{}
	now := time.Now()
	for _, key := range c.keys(req.name, now) {
		t.Compare = append(t.Compare, etcd.Absent(key))
		t.Failure = append(t.Failure, etcd.OpGet(key))
	}
	t.Success = []etcd.Op{etcd.OpPut(c.key(claimGeneration(now), req.name), req.value)}
	return t
}

// claimGeneration returns the number of the claim generation at time t.
func claimGeneration(t time.Time) int64 {
	return t.Unix() / int64(claimGenerationLength/time.Second)
}

func (c *claimWriter) key(generation int64, name string) string {
	return fmt.Sprintf("%sclaim/%010d/%s", c.entry.config.Prefix, generation, name)
}

// keys returns the keys under which a claim may be stored: those of the previous,
// the current and the next generation. An entry whose clock is ahead may already
// write to the next one.
func (c *claimWriter) keys(name string, now time.Time) []string {
	current := claimGeneration(now)
	return []string{c.key(current-1, name), c.key(current, name), c.key(current+1, name)}
}

// expire deletes the claims that are more than two generations old. No entry
// searches them any more.
func (c *claimWriter) expire(ctx context.Context) error {
	_, err := c.entry.platform.Commit(ctx, etcd.TxnRequest{Success: []etcd.Op{{
		Delete: &etcd.DeleteRequest{
			Key:      []byte(c.entry.config.Prefix + "claim/"),
			RangeEnd: []byte(c.key(claimGeneration(time.Now())-2, "")),
		},
	}}})
	return err
}

// committedReply returns the reply to a request, given the transaction that was sent
// for it, the response r, and the revision rev at which the platform ran the
// transaction.
func committedReply(sent *etcd.TxnRequest, r *etcd.TxnResponse, rev int64) claimReply {
	if r == nil {
		return claimReply{err: &NotRecorded{Cause: &concurrentWrite{}}}
	}
	if r.Succeeded {
		return claimReply{location: claimLocation{key: string(sent.Success[0].Put.Key), modRevision: rev}}
	}
	return firstExistingClaim(r.Responses, &concurrentWrite{})
}

// firstExistingClaim returns the reply for the first claim found in the
// responses, or an error with the given cause when there is none.
func firstExistingClaim(rs []etcd.OpResponse, cause error) claimReply {
	for _, r := range rs {
		if r.Range != nil && len(r.Range.KVs) > 0 {
			return existingClaim(r.Range.KVs[0])
		}
	}
	return claimReply{err: &NotRecorded{Cause: cause}}
}

// existingClaim returns the reply for a claim that another request wrote.
func existingClaim(kv etcd.KV) claimReply {
	var other claim
	if err := json.Unmarshal(kv.Value, &other); err != nil {
		return claimReply{err: &NotRecorded{Cause: err}}
	}
	return claimReply{location: claimLocation{key: string(kv.Key), modRevision: kv.ModRevision}, other: &other}
}

// resolve reads the claims of a batch whose answer was lost, and replies to its
// requests with what the platform holds.
func (c *claimWriter) resolve(ctx context.Context, batch []*claimRequest, cause error) {
	ctx, cancel := context.WithTimeout(ctx, claimResolveTimeout)
	defer cancel()
	var txn etcd.TxnRequest
	for _, req := range batch {
		txn.Success = append(txn.Success, etcd.Op{Txn: c.readTxn(req)})
	}
	for {
		done, err := c.entry.platform.Commit(ctx, txn)
		if err == nil && len(done.Responses) == len(batch) {
			for i, req := range batch {
				req.reply <- resolvedReply(req, done.Responses[i].Txn, cause)
			}
			return
		}
		if !delay.Sleep(ctx, resolveInterval) {
			replyToAll(batch, claimReply{err: &Indeterminate{Cause: cause}})
			return
		}
	}
}

// readTxn returns the transaction that reads the claim that a request may have
// written.
func (c *claimWriter) readTxn(req *claimRequest) *etcd.TxnRequest {
	t := &etcd.TxnRequest{}
	for _, key := range c.keys(req.name, time.Now()) {
		t.Success = append(t.Success, etcd.OpGet(key))
	}
	return t
}

// resolvedReply returns the reply to a request after a lost answer, from the
// claims that the platform holds. The nonce distinguishes the request's own claim
// from that of another request.
func resolvedReply(req *claimRequest, r *etcd.TxnResponse, cause error) claimReply {
	if r == nil {
		return claimReply{err: &Indeterminate{Cause: cause}}
	}
	reply := firstExistingClaim(r.Responses, cause)
	if reply.other != nil && reply.other.Nonce == req.nonce {
		reply.other = nil
	}
	return reply
}
