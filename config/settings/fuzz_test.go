package settings_test

import (
	"testing"

	"github.com/yuccaroute/yuccaroute/config/settings"
)

// FuzzParse feeds settings: nothing may panic, and what is accepted must hold
// what a node cannot start without.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("[node]\nvm\n[listen\ncallers = 1.2.3.4:0"))
	f.Add([]byte("[listen]\npeers = [::1]:5\n[platform]\ncall_timeout_ms = 1e3\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse("f", text)
		if err != nil {
			return
		}
		if s.Node.VM == "" || !s.Listen.Peers.IsValid() || !s.Platform.Store.IsValid() || s.Platform.CallTimeout <= 0 || s.Limits.BufferedBytes <= 0 {
			t.Fatalf("accepted: %+v", s)
		}
	})
}
