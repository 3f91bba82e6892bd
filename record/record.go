// Package record encodes what is kept in the store as JSON.
//
// # Usage
//
//	value, err := record.Encode(j)
package record

import (
	"bytes"
	"encoding/json"
)

// Encode returns the JSON encoding of v. Unlike [json.Marshal], it does not escape the
// characters <, > and &, each of which would take six bytes: a value in the store has a limited
// length. The error is that of [json.Marshal].
func Encode(v any) ([]byte, error) {
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}
