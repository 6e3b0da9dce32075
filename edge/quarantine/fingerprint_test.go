package quarantine

import "testing"

// Guards against different requests with the same fingerprint, and repetitions with another one.
func TestFingerprintCoversContent(t *testing.T) {
	base := Content{Method: "POST", Host: "h", Target: "/a/b?c=1", Account: "x", Authorization: "y", Body: []byte("order")}
	others := map[string]func(*Content){
		"method":        func(c *Content) { c.Method = "PUT" },
		"host":          func(c *Content) { c.Host = "g" },
		"path":          func(c *Content) { c.Target = "/a/c?c=1" },
		"query":         func(c *Content) { c.Target = "/a/b?c=2" },
		"account":       func(c *Content) { c.Account = "z" },
		"authorization": func(c *Content) { c.Authorization = "z" },
		"body":          func(c *Content) { c.Body = []byte("orders") },
		"shifted parts": func(c *Content) { c.Account, c.Authorization = "xy", "" },
	}
	first := FingerprintOf(base)
	if again := FingerprintOf(base); again != first || len(first.String()) != 32 {
		t.Errorf("%s and %s of one request", first, again)
	}
	for name, change := range others {
		c := base
		change(&c)
		if FingerprintOf(c) == first {
			t.Errorf("another %s has the same fingerprint", name)
		}
	}
}
