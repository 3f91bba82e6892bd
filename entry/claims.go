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

// The bounds of claims.
const (
	// claimAge is the length of a generation of claims. A claim is found for at
	// least one generation and kept for less than four.
	claimAge = 10 * time.Minute
	// claimBatch is how many claims go into one transaction.
	claimBatch = 100
	// claimDoubt is how long a lost answer is looked into.
	claimDoubt = 2 * time.Second
)

// claim is the record that binds an idempotency key to the one VM where its
// task may run. It moves to another VM only by compare-and-swap, after the
// first has proved that the task did not run there and never will.
type claim struct {
	Entry string `json:"entry"`
	// ID is the task's id on the VM.
	ID task.ID `json:"id"`
	VM string  `json:"vm"`
	// Address and Boot name the run of the VM's process.
	Address netip.AddrPort `json:"address"`
	Boot    string         `json:"boot"`
	// Body is the SHA-256 of the request's body, in hex.
	Body string `json:"body"`
	// Nonce identifies the write.
	Nonce string `json:"nonce"`
}

// claimAsk asks for one write of a claim.
type claimAsk struct {
	// name identifies the task among all claims.
	name  string
	value []byte
	nonce string
	// held is the claim that is replaced; the zero value means that there is none.
	held location
	done chan claimReply
}

// location is where a claim stands in the platform.
type location struct {
	key string
	mod int64
}

// claimReply says what the platform holds.
type claimReply struct {
	// held is where the standing claim is.
	held location
	// other is set when another claim stands.
	other *claim
	err   error
}

// claims writes claims in batches, one transaction at a time.
type claims struct {
	entry *Entry
	asks  chan *claimAsk
}

func newClaims(e *Entry) *claims {
	return &claims{entry: e, asks: make(chan *claimAsk, claimBatch)}
}

// ask writes one claim and waits for the reply.
func (c *claims) ask(ctx context.Context, a *claimAsk) claimReply {
	a.done = make(chan claimReply, 1)
	select {
	case c.asks <- a:
	case <-ctx.Done():
		return claimReply{err: ctx.Err()}
	}
	select {
	case r := <-a.done:
		return r
	case <-ctx.Done():
		return claimReply{err: ctx.Err()}
	}
}

// run writes batches until ctx ends.
func (c *claims) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.asks:
			c.write(ctx, c.gather(first))
		}
	}
}

// gather returns the asks that wait now. Two for one key go into different batches.
func (c *claims) gather(first *claimAsk) []*claimAsk {
	batch := []*claimAsk{first}
	names := map[string]bool{first.name: true}
	for len(batch) < claimBatch {
		select {
		case a := <-c.asks:
			if names[a.name] {
				go func() { c.asks <- a }()
				return batch
			}
			names[a.name] = true
			batch = append(batch, a)
		default:
			return batch
		}
	}
	return batch
}

// write runs one transaction for the batch and answers every ask.
func (c *claims) write(ctx context.Context, batch []*claimAsk) {
	var txn etcd.TxnRequest
	for _, a := range batch {
		txn.Success = append(txn.Success, etcd.Op{Txn: c.txn(a)})
	}
	done, err := c.entry.platform.Commit(ctx, txn)
	if err == nil && len(done.Responses) == len(batch) {
		for i, a := range batch {
			a.done <- replyOf(txn.Success[i].Txn, done.Responses[i].Txn, done.Header.Revision)
		}
		return
	}
	if _, ok := errors.Into[*etcd.Uncertain](err); ok {
		c.resolve(ctx, batch, err)
		return
	}
	answer(batch, claimReply{err: err})
}

func answer(batch []*claimAsk, r claimReply) {
	for _, a := range batch {
		a.done <- r
	}
}

// txn is the transaction that writes one claim: in place of the one held, or
// as a new one when no generation in use has it.
func (c *claims) txn(a *claimAsk) *etcd.TxnRequest {
	if a.held.mod != 0 {
		return &etcd.TxnRequest{
			Compare: []etcd.Compare{etcd.Unchanged(etcd.KV{Key: []byte(a.held.key), Mod: a.held.mod})},
			Success: []etcd.Op{etcd.Put(a.held.key, a.value)},
			Failure: []etcd.Op{etcd.Read(a.held.key)},
		}
	}
	t := &etcd.TxnRequest{}
	now := time.Now()
	for _, key := range c.keys(a.name, now) {
		t.Compare = append(t.Compare, etcd.Absent(key))
		t.Failure = append(t.Failure, etcd.Read(key))
	}
	t.Success = []etcd.Op{etcd.Put(c.key(generation(now), a.name), a.value)}
	return t
}

// generation returns the number of the claims' generation at a time.
func generation(t time.Time) int64 {
	return t.Unix() / int64(claimAge/time.Second)
}

func (c *claims) key(gen int64, name string) string {
	return fmt.Sprintf("%sclaim/%010d/%s", c.entry.config.Prefix, gen, name)
}

// keys returns where a claim may stand: in the last generation, in this one,
// or in the next, which entries whose clocks are ahead have begun.
func (c *claims) keys(name string, now time.Time) []string {
	g := generation(now)
	return []string{c.key(g-1, name), c.key(g, name), c.key(g+1, name)}
}

// expire deletes the generations that nobody looks at any more.
func (c *claims) expire(ctx context.Context) error {
	_, err := c.entry.platform.Commit(ctx, etcd.TxnRequest{Success: []etcd.Op{{
		Delete: &etcd.DeleteRequest{
			Key: []byte(c.entry.config.Prefix + "claim/"),
			End: []byte(c.key(generation(time.Now())-2, "")),
		},
	}}})
	return err
}

func replyOf(sent *etcd.TxnRequest, r *etcd.TxnResponse, rev int64) claimReply {
	if r == nil {
		return claimReply{err: &NotRecorded{Cause: &raced{}}}
	}
	if r.Succeeded {
		return claimReply{held: location{key: string(sent.Success[0].Put.Key), mod: rev}}
	}
	return firstStanding(r.Responses, &raced{})
}

// firstStanding returns the reply for the first claim among the ranges read.
func firstStanding(rs []etcd.OpResponse, cause error) claimReply {
	for _, r := range rs {
		if r.Range != nil && len(r.Range.KVs) > 0 {
			return standing(r.Range.KVs[0])
		}
	}
	return claimReply{err: &NotRecorded{Cause: cause}}
}

// standing returns the reply for a claim that another wrote.
func standing(kv etcd.KV) claimReply {
	var other claim
	if err := json.Unmarshal(kv.Value, &other); err != nil {
		return claimReply{err: &NotRecorded{Cause: err}}
	}
	return claimReply{held: location{key: string(kv.Key), mod: kv.Mod}, other: &other}
}

// resolve reads the claims of a batch whose answer was lost.
func (c *claims) resolve(ctx context.Context, batch []*claimAsk, cause error) {
	ctx, cancel := context.WithTimeout(ctx, claimDoubt)
	defer cancel()
	var txn etcd.TxnRequest
	for _, a := range batch {
		txn.Success = append(txn.Success, etcd.Op{Txn: c.look(a)})
	}
	for {
		done, err := c.entry.platform.Commit(ctx, txn)
		if err == nil && len(done.Responses) == len(batch) {
			for i, a := range batch {
				a.done <- found(a, done.Responses[i].Txn, cause)
			}
			return
		}
		if !delay.For(ctx, doubtPause) {
			answer(batch, claimReply{err: &Doubtful{Cause: cause}})
			return
		}
	}
}

// look reads the claim that an ask may have written.
func (c *claims) look(a *claimAsk) *etcd.TxnRequest {
	t := &etcd.TxnRequest{}
	for _, key := range c.keys(a.name, time.Now()) {
		t.Success = append(t.Success, etcd.Read(key))
	}
	return t
}

// found says what a claim's record shows after a lost answer.
func found(a *claimAsk, r *etcd.TxnResponse, cause error) claimReply {
	if r == nil {
		return claimReply{err: &Doubtful{Cause: cause}}
	}
	reply := firstStanding(r.Responses, cause)
	if reply.other != nil && reply.other.Nonce == a.nonce {
		reply.other = nil
	}
	return reply
}
