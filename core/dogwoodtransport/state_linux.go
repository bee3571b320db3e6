package dogwoodtransport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// acceptsWrites reports whether the other side of a TCP connection may still read what is written. It returns false if that can't be
// told.
func acceptsWrites(conn net.Conn) bool {
	descriptors, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	descriptor, err := descriptors.SyscallConn()
	if err != nil {
		return false
	}
	accepts := false
	err = descriptor.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		accepts = err == nil && info.State != unix.BPF_TCP_CLOSE
	})
	return err == nil && accepts
}
