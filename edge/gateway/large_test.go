package gateway

import (
	"strings"
	"testing"

	"github.com/yuccaroute/yuccaroute/edge/route"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// Guards against large bodies and answers that cross regions.
func TestIsLarge(t *testing.T) {
	for _, c := range []struct {
		name  string
		route site.Route
		body  string
		want  bool
	}{
		{"look-up", site.Route{}, "", false},
		{"report", site.Route{Download: true}, "", true},
		{"upload", site.Route{Upload: true}, "", true},
		{"long body", site.Route{}, strings.Repeat("x", largeBody+1), true},
	} {
		r := &request{in: &serve.Request{Body: []byte(c.body)}, route: &route.Entry{Route: c.route}}
		if got := isLarge(r); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
