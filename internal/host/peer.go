package host

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a connection in which its peer sends nothing more (linux/tcp_states.h).
const (
	tcpClose     = 7 // it was reset
	tcpCloseWait = 8 // the peer has ended its side
)

// PeerClosed reports whether the peer has closed or reset a connection, also if data that came before is still unread. It
// returns false for a connection that can't be checked. A connection of a simulated host has a method of that name.
// PeerClosed does not block.
func PeerClosed(nc net.Conn) bool {
	if p, ok := nc.(interface{ PeerClosed() bool }); ok {
		return p.PeerClosed()
	}
	info := tcpInfo(nc)
	return info != nil && (info.State == tcpClose || info.State == tcpCloseWait)
}

// tcpInfo returns what the kernel knows of a connection, nil if it can't be asked.
func tcpInfo(nc net.Conn) (info *unix.TCPInfo) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	err = rc.Control(func(fd uintptr) {
		if got, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = got
		}
	})
	if err != nil {
		return nil
	}
	return info
}
