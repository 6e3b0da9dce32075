// Package loopback gives tests addresses on which nobody else listens.
//
// Guard against a port that was free when it was picked and is not when a program binds
// it: the system gives free ports to outgoing connections, and on a busy machine to one
// of these. It shows as a program that ends at its start, once in some hundred starts.
// The guard holds because each Host has a loopback address of its own, which no
// connection starts from.
package loopback

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// firstPort is the first port of a host, below those that the system gives to
// connections.
const firstPort = 20_000

// portsPerHost is how far apart the ports of hosts that share an address begin: a process
// has 256 addresses.
const portsPerHost = 100

// hosts counts the hosts of this process.
var hosts atomic.Uint32

// Host is one loopback address, with each port given out once. It is safe for use by
// several goroutines.
type Host struct {
	ip    string
	ports atomic.Int32
}

// NewHost returns a host that no other one of this machine's tests has, unless two
// processes have the same last 14 bits of their numbers.
func NewHost() *Host {
	pid, n := os.Getpid(), hosts.Add(1)
	h := &Host{ip: netip.AddrFrom4([4]byte{127, 64 + byte(pid>>8)%64, byte(pid), byte(n)}).String()}
	h.ports.Store(int32(n>>8) * portsPerHost)
	return h
}

// IP returns the host's address without a port.
func (h *Host) IP() string { return h.ip }

// Port returns a port that was not given out before.
func (h *Host) Port() int { return firstPort + int(h.ports.Add(1)) }

// Address returns ip:port with a port that was not given out before.
func (h *Host) Address() string { return net.JoinHostPort(h.ip, strconv.Itoa(h.Port())) }

// Bounds of Rebind.
const (
	rebindAttempts = 5_000
	rebindInterval = time.Millisecond
)

// Rebind calls listen, which binds an address whose last listener was just closed, until
// it does not fail because the address is in use. A process that this one has just forked
// keeps a copy of the closed listener until it runs its program.
func Rebind(listen func() error) error {
	for attempt := 1; ; attempt++ {
		err := listen()
		if !errors.Is(err, syscall.EADDRINUSE) || attempt == rebindAttempts {
			return err
		}
		time.Sleep(rebindInterval)
	}
}
