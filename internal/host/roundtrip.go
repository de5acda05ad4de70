package host

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// MinRoundTrip is the least time that a packet and its acknowledgement have taken on a connection, as its kernel has measured
// it: what comes sooner behind a write can't be an answer to it. 0 means that nobody knows. It does not block.
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
	least := uint32(0)
	err = rc.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			least = info.Min_rtt
		}
	})
	if err != nil || least == ^uint32(0) { // nothing was measured yet
		return 0
	}
	return time.Duration(least) * time.Microsecond
}
