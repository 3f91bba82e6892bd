package etcd

import (
	"context"
	"encoding/json"
)

// Watch calls f with the events of each revision, beginning with revision start,
// for the keys with the prefix. It blocks until ctx ends, f returns an error, the
// service cancels the watch or the stream breaks, and returns the error. No change
// is lost after that if the caller lists the keys again and watches from the
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
