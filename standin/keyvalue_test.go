package standin_test

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"

	"almondcove/standin"
	"almondcove/store"
	"almondcove/store/storetest"
)

// TestKeyValue checks KeyValue against the contract of store.Store.
func TestKeyValue(t *testing.T) {
	storetest.Run(t, func(*testing.T) store.Store { return standin.NewKeyValue() })
}

// TestKeyValueLimits guards against tests that pass because the stand-in takes what the platform's
// store refuses.
func TestKeyValueLimits(t *testing.T) {
	long := func(n int) store.Put { return store.Put{Key: strings.Repeat("k", n), Value: []byte("v")} }
	value := func(n int) store.Put { return store.Put{Key: "k", Value: make([]byte, n)} }
	many := make([]string, store.MaxTxnOps)
	for _, c := range []struct {
		name  string
		txn   store.Txn
		taken bool
	}{
		{"longest value", store.Txn{Puts: []store.Put{value(1 << 20)}}, true},
		{"value too long", store.Txn{Puts: []store.Put{value(1<<20 + 1)}}, false},
		{"longest key", store.Txn{Puts: []store.Put{long(200)}}, true},
		{"key too long", store.Txn{Puts: []store.Put{long(201)}}, false},
		{"removed key too long", store.Txn{Removes: []string{strings.Repeat("k", 201)}}, false},
		{"guarded key too long", store.Txn{Guards: []store.Guard{{Key: strings.Repeat("k", 201)}}}, false},
		{"most entries", store.Txn{Removes: many}, true},
		{"too many entries", store.Txn{Removes: many, Puts: []store.Put{value(1)}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			k := standin.NewKeyValue()
			_, err := k.Commit(t.Context(), c.txn)
			if c.taken {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			_, ok := errors.Into[*store.Invalid](err)
			g.Expect(ok).To(gomega.BeTrue(), "%v", err)
			g.Expect(k.Invalid()).To(gomega.Equal(1))
		})
	}
}
