package jobs

import (
	"context"
	"time"

	"almondcove/carrier"
	"almondcove/job"
	"almondcove/owner"
	"almondcove/peer"
	"almondcove/store"
)

// jobHost answers the calls of other entries. It never forwards a call to another
// entry.
type jobHost struct {
	node *Node
}

var _ peer.JobHost = (*jobHost)(nil)

// Submit passes a job to the owner at this entry.
func (h *jobHost) Submit(ctx context.Context, j *job.Job) owner.Answer {
	return h.node.owner.Submit(ctx, j)
}

// Show returns the phase of a job.
func (h *jobHost) Show(id job.ID, scope owner.Scope) owner.Answer {
	return h.node.owner.Show(id, scope)
}

// Cancel cancels a job.
func (h *jobHost) Cancel(ctx context.Context, id job.ID, scope owner.Scope) owner.Answer {
	return h.node.owner.Cancel(ctx, id, scope)
}

// Count returns the number of a queue's jobs of which no task has started.
func (h *jobHost) Count(queue string) owner.Answer { return h.node.owner.Count(queue) }

// ExchangeStatus applies the status of another entry and returns that of this one. If the other
// entry requests a pledge, the answer says whether this entry gives it.
func (h *jobHost) ExchangeStatus(status peer.EntryStatus) peer.EntryStatus {
	n := h.node
	n.mu.Lock()
	n.lastContact[status.Name] = time.Now()
	n.mu.Unlock()
	n.shard.ObserveEntries(status.Name)
	for _, other := range n.shard.Peers() {
		if other.Name == status.Name {
			n.wg.Go(func() { n.applyStatus(status, other.Address) })
		}
	}
	reply := n.ownStatus()
	if status.RequestsPledge && n.shard.GivePledge(status.Owner) {
		reply.Pledge, reply.Members = true, n.shard.MemberNames()
	}
	return reply
}

// Records returns the operators' records and the revision of the last change.
func (h *jobHost) Records() ([]store.Item, int64) {
	copied := h.node.operatorRecords.Snapshot()
	out := make([]store.Item, 0, len(copied.Items))
	for _, it := range copied.Items {
		out = append(out, it)
	}
	return out, copied.Rev
}

// Store returns the store as this entry reaches it.
func (h *jobHost) Store() store.Store { return h.node.config.Store }

// VMs makes calls to VMs from this entry.
func (h *jobHost) VMs() carrier.VMs { return h.node.config.VMs }
