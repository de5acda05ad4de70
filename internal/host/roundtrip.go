package host

import (
	"net"
	"time"
)

// MinRoundTrip returns the minimum round-trip time of a connection as the kernel has measured it, or 0 if it is unknown. Data
// that arrives sooner after a write cannot be a response to it. MinRoundTrip does not block.
func MinRoundTrip(nc net.Conn) time.Duration {
	if r, ok := nc.(interface{ RoundTrip() time.Duration }); ok {
		return r.RoundTrip()
	}
	info := tcpInfo(nc)
	if info == nil || info.Min_rtt == ^uint32(0) { // ^0: not measured yet
		return 0
	}
	return time.Duration(info.Min_rtt) * time.Microsecond
}
