package host

import (
	"errors"
	"syscall"
)

// IsShortage reports whether an operation on a connection failed because this machine lacks a resource, such as file
// descriptors. It says nothing about the peer.
func IsShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EADDRNOTAVAIL)
}
