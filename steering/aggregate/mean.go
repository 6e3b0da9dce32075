package aggregate

// mean is a weighted mean, or the unweighted one if all weights are 0.
type mean struct {
	sum, weight       float64
	unweighted, count float64
}

func (m *mean) add(value, weight float64) {
	m.sum += value * weight
	m.weight += weight
	m.unweighted += value
	m.count++
}

func (m *mean) value() float64 {
	if m.weight > 0 {
		return m.sum / m.weight
	}
	if m.count > 0 {
		return m.unweighted / m.count
	}
	return 0
}
