package record_test

import (
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"

	"almondcove/record"
)

// TestEncode guards against records that are longer than the texts in them, or are read as others.
func TestEncode(t *testing.T) {
	g := gomega.NewWithT(t)
	const text = `<a href="/">&nbsp;</a>`
	data, err := record.Encode([]string{text})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(data)).To(gomega.Equal(`["<a href=\"/\">&nbsp;</a>"]`))
	var read []string
	g.Expect(json.Unmarshal(data, &read)).To(gomega.Succeed())
	g.Expect(read).To(gomega.Equal([]string{text}))
	_, err = record.Encode(func() {})
	g.Expect(err).To(gomega.HaveOccurred())
}
