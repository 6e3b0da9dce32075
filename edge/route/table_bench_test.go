package route

import (
	"fmt"
	"testing"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

func manyRoutes() *site.Config {
	var routes []site.Route
	for i := range 1500 {
		routes = append(routes, routeTo(fmt.Sprint(i), fmt.Sprintf("/p%d/", i), "s"))
	}
	return config(1, routes...)
}

func BenchmarkNewTable(b *testing.B) {
	c := manyRoutes()
	last := NewTable(c, nil)
	b.ReportAllocs()
	for b.Loop() {
		NewTable(c, last)
	}
}

func BenchmarkMatch(b *testing.B) {
	table := NewTable(manyRoutes(), nil)
	b.ReportAllocs()
	for b.Loop() {
		if table.Match("h", "/p1499/a/b") == nil {
			b.Fatal("no route")
		}
	}
}
