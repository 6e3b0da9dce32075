//go:build unix && !linux

package forward

import (
	"net"
	"syscall"
)

// socketState returns nothing: writes alone tell of a reset.
func socketState(net.Conn) (connState, syscall.Errno) { return stateUnknown, 0 }
