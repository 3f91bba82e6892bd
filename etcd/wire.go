package etcd

// The types in this file follow the JSON mapping of the etcd v3 API: byte strings
// are encoded in base64, and 64-bit numbers as strings.

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KV is a key with its value.
type KV struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	// CreateRevision and ModRevision are the revisions of the first and the last
	// write of the key.
	CreateRevision int64 `json:"create_revision,string,omitempty"`
	ModRevision    int64 `json:"mod_revision,string,omitempty"`
	// Version is the number of writes since the key was created; zero means that the
	// key does not exist.
	Version int64 `json:"version,string,omitempty"`
	Lease   int64 `json:"lease,string,omitempty"`
}

// RangeRequest reads the key Key, or all keys from Key up to RangeEnd, exclusive, if
// RangeEnd is set.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// Limit is the greatest number of keys in the response; zero means no limit.
	Limit int64 `json:"limit,omitempty,string"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header `json:"header"`
	KVs    []KV   `json:"kvs,omitempty"`
	// More is set if the limit left out keys.
	More bool `json:"more,omitempty"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRequest deletes the key Key, or all keys from Key up to RangeEnd, exclusive,
// if RangeEnd is set.
type DeleteRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteResponse answers a DeleteRequest.
type DeleteResponse struct {
	Header  Header `json:"header"`
	Deleted int64  `json:"deleted,string,omitempty"`
}

// Values of Compare.Target and Compare.Result.
const (
	TargetMod     = "MOD"
	TargetVersion = "VERSION"
	TargetValue   = "VALUE"
	resultEqual   = "EQUAL"
)

// Compare is a condition of a transaction. Result is always EQUAL.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Version     int64  `json:"version,string,omitempty"`
	Value       []byte `json:"value,omitempty"`
}

// Op is one operation of a transaction; exactly one field is set.
type Op struct {
	Txn    *TxnRequest    `json:"request_txn,omitempty"`
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// OpResponse answers an Op.
type OpResponse struct {
	Txn    *TxnResponse    `json:"response_txn,omitempty"`
	Range  *RangeResponse  `json:"response_range,omitempty"`
	Put    *PutResponse    `json:"response_put,omitempty"`
	Delete *DeleteResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest executes Success if all conditions hold, and Failure otherwise.
type TxnRequest struct {
	Compare []Compare `json:"compare,omitempty"`
	Success []Op      `json:"success,omitempty"`
	Failure []Op      `json:"failure,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []OpResponse `json:"responses,omitempty"`
}

// GrantRequest requests a lease with a time to live of TTL seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseRequest identifies a lease to keep alive or to revoke.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseResponse answers a request about a lease. In the response to a keep-alive, a
// TTL of zero means that the lease has ended.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is one message of the keep-alive stream.
type KeepAliveResponse struct {
	Result *LeaseResponse `json:"result,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate states the keys to watch and the first revision to report.
type WatchCreate struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// typeDelete is the type of an Event that is not a put.
const typeDelete = "DELETE"

// Event is one change to a watched key.
type Event struct {
	// Type is empty or PUT for a put, and DELETE for a deletion.
	Type string `json:"type,omitempty"`
	KV   KV     `json:"kv"`
}

// Deleted reports whether the event is a deletion.
func (e Event) Deleted() bool {
	return e.Type == typeDelete
}

// NewEvent returns the event of a put or a deletion.
func NewEvent(kv KV, deleted bool) Event {
	if deleted {
		return Event{Type: typeDelete, KV: kv}
	}
	return Event{KV: kv}
}

// WatchResponse is one message of the watch stream.
type WatchResponse struct {
	Result *WatchResult `json:"result,omitempty"`
}

// WatchResult reports events, or that the watch was created or canceled.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// ErrorResponse is the body of a response with a status other than 200. Code is a
// gRPC status code.
type ErrorResponse struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// PrefixEnd returns the exclusive end of the range of all keys with the prefix. An
// end of one zero byte means no upper bound.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
