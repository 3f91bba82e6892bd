// Package examples holds the example configuration, which the demo loads.
//
// # Usage
//
//	doc, err := settings.ReadDocument(examples.Fleet)
package examples

import _ "embed"

// Fleet is the example configuration, as JSON with comments.
//
//go:embed local/fleet.jsonc
var Fleet []byte
