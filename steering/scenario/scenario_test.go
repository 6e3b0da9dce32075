package scenario

import "testing"

func TestReport(t *testing.T) {
	for _, tenant := range []*tenant{&daehan, &alpenvlies} {
		t.Log(tenant.name)
		for _, sc := range scripts {
			for _, p := range []policy{ours, nearest, static, greedy} {
				r := run(tenant, sc, p)
				t.Log(r.String())
			}
		}
	}
}
