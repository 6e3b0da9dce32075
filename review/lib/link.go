package lib

import (
	"net"
	"syscall"
	"time"
)

// Link is a proxy that stands for the line between a client and a machine: it has a delay each way, a
// bandwidth towards the client, and a small window, as the links on the pages.
type Link struct {
	Delay          time.Duration
	BytesPerSecond float64
	Window         int
	SegmentBytes   int
}

// Dial connects to an address through the link. Closing the result closes the line.
func (l Link) Dial(target string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, l.Window)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, l.SegmentBytes)
		})
	}}
	far, err := d.Dial("tcp4", target)
	if err != nil {
		return nil, err
	}
	near, mine := net.Pipe()
	go l.carry(near, far, 0)
	go l.carry(far, near, l.BytesPerSecond)
	return mine, nil
}

type parcel struct {
	data []byte
	due  time.Time
}

// carry moves bytes from one end to the other. The end of one direction ends both, after what was sent before.
func (l Link) carry(from, to net.Conn, bytesPerSecond float64) {
	parcels := make(chan parcel, 1024)
	go func() {
		for p := range parcels {
			time.Sleep(time.Until(p.due))
			if _, err := to.Write(p.data); err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
		for range parcels {
		}
	}()
	buffer := make([]byte, 4<<10)
	free := time.Now()
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			now := time.Now()
			if free.Before(now) {
				free = now
			}
			if bytesPerSecond > 0 {
				free = free.Add(time.Duration(float64(n) / bytesPerSecond * float64(time.Second)))
			}
			parcels <- parcel{append([]byte(nil), buffer[:n]...), free.Add(l.Delay)}
			time.Sleep(time.Until(free))
		}
		if err != nil {
			close(parcels)
			return
		}
	}
}
