package standin_test

import (
	"testing"

	"almondcove/standin"
	"almondcove/store"
	"almondcove/store/storetest"
)

// TestKeyValue checks KeyValue against the contract of store.Store.
func TestKeyValue(t *testing.T) {
	storetest.Run(t, func(*testing.T) store.Store { return standin.NewKeyValue() })
}
