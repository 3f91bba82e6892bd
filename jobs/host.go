package jobs

import (
	"context"
	"time"

	"almondcove/job"
	"almondcove/owner"
	"almondcove/peer"
	"almondcove/store"
)

// host answers the calls of other entries. It passes nothing on.
type host struct {
	node *Node
}

var _ peer.JobHost = (*host)(nil)

// Submit hands a job to the own owner.
func (h *host) Submit(ctx context.Context, j *job.Job) owner.Answer {
	return h.node.owner.Submit(ctx, j)
}

// Show returns the phase of a job.
func (h *host) Show(id job.ID) owner.Answer { return h.node.owner.Show(id) }

// Cancel cancels a job.
func (h *host) Cancel(ctx context.Context, id job.ID) owner.Answer {
	return h.node.owner.Cancel(ctx, id)
}

// Count returns the length of a queue.
func (h *host) Count(queue string) owner.Answer { return h.node.owner.Count(queue) }

// Meet answers another entry's news with the own.
func (h *host) Meet(m peer.Meeting) peer.Meeting {
	n := h.node
	n.mu.Lock()
	n.met[m.Name] = time.Now()
	n.mu.Unlock()
	for _, other := range n.shard.Members() {
		if other.Name == m.Name {
			n.done.Go(func() { n.heard(m, other.Address) })
		}
	}
	out := n.meeting()
	out.Pledge = m.Ask && n.shard.Pledge(m.Owner)
	return out
}

// Records returns the operators' records with the revision of the last change.
func (h *host) Records() ([]store.Item, int64) {
	c := h.node.operators.Copy()
	out := make([]store.Item, 0, len(c.Items))
	for _, it := range c.Items {
		out = append(out, it)
	}
	return out, c.Rev
}

// Store returns the store as this entry reaches it.
func (h *host) Store() store.Store { return h.node.config.Store }
