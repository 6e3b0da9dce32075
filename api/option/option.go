// Package option fills options that were left out.
package option

import "cmp"

// Default gives a number or duration that is not above zero its default.
func Default[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field <= zero {
		*field = value
	}
}
