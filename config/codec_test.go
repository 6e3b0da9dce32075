package config_test

import (
	"bytes"
	"compress/flate"
	"testing"

	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/examples"
)

// TestBodyIsSmall bounds what each change of an account costs every node.
func TestBodyIsSmall(t *testing.T) {
	for _, pair := range examples.Pairs() {
		resolved, err := resolveExample(t, pair, "")
		if err != nil {
			t.Fatal(err)
		}
		body, err := config.Encode(resolved.Account)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d bytes", pair.Account, len(body))
		if len(body) > 800 {
			t.Errorf("%s: %d bytes", pair.Account, len(body))
		}
	}
}

// TestDecodeIsBounded: a body of a few kilobytes that unpacks to megabytes
// must not take the node's memory.
func TestDecodeIsBounded(t *testing.T) {
	var body bytes.Buffer
	packer, _ := flate.NewWriter(&body, flate.BestCompression)
	for range 9 {
		_, _ = packer.Write(bytes.Repeat([]byte(" "), 1<<20))
	}
	_, _ = packer.Write([]byte("{}"))
	_ = packer.Close()
	if _, err := config.Decode(body.Bytes()); err == nil {
		t.Error("accepted")
	}
	if _, err := config.Decode([]byte("{}")); err == nil {
		t.Error("plain bytes accepted")
	}
}
