package entry

import "github.com/yuccaroute/yuccaroute/edge/gateway"

// targetLimits returns the limits of targets for the gateway, nil if the platform has none.
func (e *Entry) targetLimits() gateway.TargetLimits {
	if e.options.Names.StatedLimit == nil {
		return nil
	}
	return e.rateLimits
}

// setLimits applies the current limits of targets, by the target's ID in messages.
func (e *Entry) setLimits(limits map[uint32]float64) {
	e.gatewayMetrics.setTargetLimits(len(limits))
}
