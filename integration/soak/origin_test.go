package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// vmOf returns the name of the VM whose process has opened a connection to this one, "" for another
// process. All processes have the same address, so that only the socket tells.
func (w *world) vmOf(c net.Conn) string {
	for range originAttempts {
		if inode := inodeOf(c.RemoteAddr(), c.LocalAddr()); inode != "" {
			if name := w.holderOf("socket:[" + inode + "]"); name != "" {
				return name
			}
		}
		time.Sleep(time.Millisecond)
	}
	return ""
}

// originAttempts is how often a socket is looked for: the kernel's list may lack some while it changes.
const originAttempts = 5

// holderOf returns the VM whose process has a socket, "" if there is none.
func (w *world) holderOf(socket string) (name string) {
	w.pids.Range(func(vm, pid any) bool {
		folder := fmt.Sprintf("/proc/%d/fd", pid)
		files, err := os.ReadDir(folder)
		if err != nil {
			return true
		}
		for _, f := range files {
			if to, err := os.Readlink(filepath.Join(folder, f.Name())); err == nil && to == socket {
				name = vm.(string)
			}
		}
		return name == ""
	})
	return name
}

// Columns of a line of /proc/net/tcp.
const (
	localColumn  = 1
	remoteColumn = 2
	inodeColumn  = 9
)

// inodeOf returns the inode of the socket between two addresses of this machine, that of the first one.
func inodeOf(local, remote net.Addr) string {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	near, far := kernelAddress(local), kernelAddress(remote)
	for line := range strings.SplitSeq(string(text), "\n") {
		columns := strings.Fields(line)
		if len(columns) > inodeColumn && columns[localColumn] == near && columns[remoteColumn] == far {
			return columns[inodeColumn]
		}
	}
	return ""
}

// kernelAddress returns an address as /proc/net/tcp has it.
func kernelAddress(a net.Addr) string {
	tcp := a.(*net.TCPAddr)
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}
