package jobs

import (
	"context"
	"time"

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
func (h *jobHost) Show(id job.ID) owner.Answer { return h.node.owner.Show(id) }

// Cancel cancels a job.
func (h *jobHost) Cancel(ctx context.Context, id job.ID) owner.Answer {
	return h.node.owner.Cancel(ctx, id)
}

// Count returns the number of a queue's jobs of which nothing has started.
func (h *jobHost) Count(queue string) owner.Answer { return h.node.owner.Count(queue) }

// Meet takes the status of another entry and returns that of this one.
func (h *jobHost) Meet(m peer.EntryStatus) peer.EntryStatus {
	n := h.node
	n.mu.Lock()
	n.met[m.Name] = time.Now()
	n.mu.Unlock()
	for _, other := range n.shard.Peers() {
		if other.Name == m.Name {
			n.wg.Go(func() { n.handleMeeting(m, other.Address) })
		}
	}
	reply := n.ownMeeting()
	reply.Pledge = m.RequestsPledge && n.shard.Pledge(m.Owner)
	return reply
}

// Records returns the operators' records and the revision of the last change.
func (h *jobHost) Records() ([]store.Item, int64) {
	c := h.node.operatorRecords.Snapshot()
	out := make([]store.Item, 0, len(c.Items))
	for _, it := range c.Items {
		out = append(out, it)
	}
	return out, c.Rev
}

// Store returns the store as this entry reaches it.
func (h *jobHost) Store() store.Store { return h.node.config.Store }
