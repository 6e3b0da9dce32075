package aggregate

// mean is a weighted mean. Without any weight it is the plain one.
type mean struct {
	sum, weight  float64
	plain, count float64
}

func (m *mean) add(value, weight float64) {
	m.sum += value * weight
	m.weight += weight
	m.plain += value
	m.count++
}

func (m *mean) value() float64 {
	if m.weight > 0 {
		return m.sum / m.weight
	}
	if m.count > 0 {
		return m.plain / m.count
	}
	return 0
}
