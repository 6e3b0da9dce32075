// Package check decides, from outside, whether the system kept its promises.
// It compares what callers were told with what the targets' ledgers say ran,
// and knows nothing of the system's own state, plans or metrics. A run whose
// checker finds no violation still says how much was compared, so that an
// empty comparison is not mistaken for a kept promise.
package check
