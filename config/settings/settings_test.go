package settings_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccaroute/yuccaroute/config/settings"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

const good = `[node]
vm = entry-1
region = kr-seoul
failure_domain = kr-seoul-a

[listen]
callers = 10.0.0.1:7000
admin = 127.0.0.1:7001
peers = 10.0.0.1:7002

[platform]
store = 10.0.9.1:2379
vm_list = 10.0.9.1:2380

[tls]
plain_allowed = yes
`

func TestParse(t *testing.T) {
	s, err := settings.Parse("node.ini", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if s.Node.VM != "entry-1" || s.Listen.Peers.Port() != 7002 || s.Platform.CallTimeout != 2*time.Second {
		t.Errorf("got %+v", s)
	}
	defaults := settings.Defaults(s.Node, s.Listen, s.Platform.Store, s.Platform.VMList)
	defaults.TLS.PlainAllowed = true
	compare := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	if diff := cmp.Diff(s, defaults, compare); diff != "" {
		t.Error(diff)
	}
}

// A node must not take the end of a watch without changes, which the service ends after 30 s, for an
// outage and read all accounts again.
func TestWatchOutlastsService(t *testing.T) {
	s := settings.Defaults(settings.Node{}, settings.Listen{}, netip.AddrPort{}, netip.AddrPort{})
	if got, waits := s.Platform.WatchTimeout, memkv.DefaultWatchWait; got < waits+s.Platform.CallTimeout {
		t.Errorf("a watch ends after %s, the service waits %s and has %s for its answer", got, waits, s.Platform.CallTimeout)
	}
}

// TestAllFaultsAtOnce: an operator who starts a node with a file full of
// faults sees all of them in one run.
func TestAllFaultsAtOnce(t *testing.T) {
	text := `[node]
vm = Entry_1
region = kr-seoul
region = kr-busan
[listen]
callers = localhost:7000
admin = 127.0.0.1:70010
[platform]
store = 10.0.9.1:2379
vm_list = 10.0.9.1:2380
call_timeout_seconds = 2
[limits]
buffered_bytes = 256MB
collect_at_percent = 5
memory_bytes = 1048576
[logging]
`
	_, err := settings.Parse("node.ini", []byte(text))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{
		"node.ini:2: [node] vm: wrong value",
		"node.ini:4: [node] region: the key stands twice",
		"node.ini:1: [node] failure_domain: the key is missing",
		`node.ini:6: [listen] callers: wrong value, got "localhost:7000"; permitted: an IP address and port`,
		"node.ini:7: [listen] admin: wrong value",
		"node.ini:5: [listen] peers: the key is missing",
		"node.ini:11: [platform] call_timeout_seconds: wrong unit, got \"2\"; permitted: call_timeout_ms",
		"node.ini:13: [limits] buffered_bytes: wrong value, got \"256MB\"; permitted: a whole number from 65536",
		"node.ini:14: [limits] collect_at_percent: wrong value, got \"5\"; permitted: a whole number from 10 to 1000",
		"node.ini:15: [limits] memory_bytes: wrong value, got \"1048576\"; permitted: a whole number from 33554432",
		"node.ini:16: [logging] unknown section",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing %q in\n%v", want, err)
		}
	}
}

func TestFaultsBetweenSettings(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"plain":      {"plain_allowed = yes", "", "not loopback and there are no keys"},
		"key":        {"plain_allowed = yes", "key_file = /etc/key.pem\nplain_allowed = yes", "belong together"},
		"authority":  {"plain_allowed = yes", "key_file = /k\ncertificate_file = /c", "whose peers to trust"},
		"address":    {"10.0.0.1:7002", "10.0.0.1:7000", "also given for callers"},
		"peers":      {"10.0.0.1:7002", "0.0.0.0:7002", "unspecified"},
		"open admin": {"127.0.0.1:7001", "10.0.0.1:7001", "only for loopback"},
	}
	extra := map[string]string{"open admin": "[admin]\nopen = yes\n"}
	for name, c := range cases {
		_, err := settings.Parse("node.ini", []byte(strings.Replace(good+extra[name], c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
