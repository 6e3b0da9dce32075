package quarantine

import (
	"fmt"
	"testing"
)

// BenchmarkFingerprint measures the cost for each answered request.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			c := Content{Method: "POST", Host: "shop.example", Target: "/orders/17/2f?page=1", Body: make([]byte, size)}
			for b.Loop() {
				FingerprintOf(c)
			}
		})
	}
}
