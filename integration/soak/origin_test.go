package soak

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
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

// originAttempts is how often a socket is looked for: its process may just be starting.
const originAttempts = 3

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

// diagRequest asks the kernel for one TCP socket, as struct inet_diag_req_v2 after its netlink header.
type diagRequest struct {
	Length                           uint32
	Type, Flags                      uint16
	Sequence, Process                uint32
	Family, Protocol, Extension, Pad uint8
	States                           uint32
	Socket                           diagSocket
}

// diagSocket is struct inet_diag_sockid.
type diagSocket struct {
	SourcePort, DestPort [2]byte
	Source, Dest         [16]byte
	Interface            uint32
	Cookie               [2]uint32
}

const (
	// sockDiagByFamily is the type of a request for a socket, allStates its states.
	sockDiagByFamily = 20
	allStates        = ^uint32(0)
	// inodeOffset is that of the inode in the answer, behind the netlink header.
	inodeOffset = syscall.NLMSG_HDRLEN + 4 + 48 + 16
)

// inodeOf returns the inode of the socket between two addresses of this machine, that of the first one.
func inodeOf(local, remote net.Addr) string {
	request := diagRequest{
		Type: sockDiagByFamily, Flags: syscall.NLM_F_REQUEST, Family: syscall.AF_INET, Protocol: syscall.IPPROTO_TCP, States: allStates,
		Socket: diagSocket{Cookie: [2]uint32{^uint32(0), ^uint32(0)}},
	}
	request.Length = uint32(binary.Size(request))
	near, far := local.(*net.TCPAddr), remote.(*net.TCPAddr)
	copy(request.Socket.Source[:], near.IP.To4())
	copy(request.Socket.Dest[:], far.IP.To4())
	binary.BigEndian.PutUint16(request.Socket.SourcePort[:], uint16(near.Port))
	binary.BigEndian.PutUint16(request.Socket.DestPort[:], uint16(far.Port))
	var message bytes.Buffer
	if err := binary.Write(&message, binary.NativeEndian, &request); err != nil {
		return ""
	}
	answer := exchangeNetlink(message.Bytes())
	if len(answer) < inodeOffset+4 {
		return ""
	}
	return strconv.FormatUint(uint64(binary.NativeEndian.Uint32(answer[inodeOffset:])), 10)
}

// exchangeNetlink sends a request to the kernel's socket diagnosis and returns its answer, nil for none.
func exchangeNetlink(request []byte) []byte {
	const sockDiag = 4
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, sockDiag)
	if err != nil {
		return nil
	}
	defer syscall.Close(fd)
	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return nil
	}
	answer := make([]byte, 4<<10)
	n, _, err := syscall.Recvfrom(fd, answer, 0)
	if err != nil {
		return nil
	}
	return answer[:n]
}
