package scenario

import (
	"os"
	"strconv"
	"strings"
)

// loopbackCounters are what the loopback interface has carried. They count
// every process of the network namespace: run fleets in a namespace of their
// own (unshare --net) when other programs use the loopback.
type loopbackCounters struct {
	bytes, packets uint64
}

const (
	networkCounters = "/proc/net/dev"
	receivedBytes   = 0
	receivedPackets = 1
)

// readLoopback returns zeros where the system has no such counters.
func readLoopback() loopbackCounters {
	text, err := os.ReadFile(networkCounters)
	if err != nil {
		return loopbackCounters{}
	}
	for line := range strings.Lines(string(text)) {
		name, rest, ok := strings.Cut(strings.TrimSpace(line), ":")
		fields := strings.Fields(rest)
		if !ok || name != "lo" || len(fields) <= receivedPackets {
			continue
		}
		return loopbackCounters{bytes: number(fields[receivedBytes]), packets: number(fields[receivedPackets])}
	}
	return loopbackCounters{}
}

func number(text string) uint64 {
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}
