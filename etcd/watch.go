package etcd

import (
	"context"
	"encoding/json"
)

// Watch reports the changes to the keys with the prefix, beginning with revision
// start. It calls f for each message of the stream that has events, with the events
// and the revision of the message. It blocks until ctx ends, f returns an error, the
// service cancels the watch or the stream breaks, and then returns an error. The
// caller misses no change if it then lists the keys again and watches from the
// revision after the list.
func (c *Client) Watch(ctx context.Context, prefix string, start int64, f func([]Event, int64) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req := WatchRequest{Create: WatchCreate{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), StartRevision: start}}
	res, err := c.post(ctx, "/v3/watch", req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	dec := json.NewDecoder(res.Body)
	for {
		var m WatchResponse
		if err := dec.Decode(&m); err != nil {
			return c.failOver(&Uncertain{Path: "/v3/watch", Cause: err})
		}
		if m.Result == nil {
			continue
		}
		if m.Result.Canceled {
			return &WatchCanceled{CompactRevision: m.Result.CompactRevision}
		}
		if len(m.Result.Events) == 0 {
			continue
		}
		if err := f(m.Result.Events, m.Result.Header.Revision); err != nil {
			return err
		}
	}
}
