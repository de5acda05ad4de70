package host

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// MinRoundTrip returns the minimum round-trip time of a connection as the kernel has measured it, or 0 if it is unknown. Data
// that arrives sooner after a write cannot be a response to it. MinRoundTrip does not block.
func MinRoundTrip(nc net.Conn) time.Duration {
	if r, ok := nc.(interface{ RoundTrip() time.Duration }); ok {
		return r.RoundTrip()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	minimum := uint32(0)
	err = rc.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			minimum = info.Min_rtt
		}
	})
	if err != nil || minimum == ^uint32(0) { // ^0: not measured yet
		return 0
	}
	return time.Duration(minimum) * time.Microsecond
}
