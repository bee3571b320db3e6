package dogwoodsoakprocess

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"syscall"
)

// The kernel's interface for questions about one socket, sock_diag(7), which package syscall does not have.
const (
	sockDiagProtocol = 4
	sockDiagByFamily = 20
	anyState         = ^uint32(0)
	noCookie         = ^uint32(0)
	maxDiagAnswer    = 4 << 10
)

// socketID identifies a connection, as its socket sees it.
type socketID struct {
	LocalPort, RemotePort [2]byte // the most significant byte first
	Local, Remote         [16]byte
	Interface             uint32
	Cookie                [2]uint32
}

// diagRequest asks for one socket, diagAnswer describes it.
type (
	diagRequest struct {
		Header                            syscall.NlMsghdr
		Family, Protocol, Extensions, Pad uint8
		States                            uint32
		ID                                socketID
	}
	diagAnswer struct {
		Header                                  syscall.NlMsghdr
		Family, State, Timer, Retransmits       uint8
		ID                                      socketID
		Expires, ReceiveQueue, SendQueue, Owner uint32
		Inode                                   uint32
	}
)

// HasSocket reports whether a socket of the process is the end of a TCP connection with the local and remote address. A process that
// has ended has none.
func (process *Process) HasSocket(local, remote netip.AddrPort) bool {
	inode, err := socketInode(local, remote)
	if err != nil {
		return false // the connection has ended
	}
	directory := fmt.Sprintf("/proc/%d/fd", process.command.Process.Pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	want := fmt.Sprintf("socket:[%d]", inode)
	return slices.ContainsFunc(entries, func(entry os.DirEntry) bool {
		link, err := os.Readlink(directory + "/" + entry.Name())
		return err == nil && link == want
	})
}

// socketInode returns the inode of the socket at the local end of an IPv4 connection. /proc/net/tcp has it too, but takes long to read
// where there are many connections.
func socketInode(local, remote netip.AddrPort) (uint32, error) {
	request := diagRequest{
		Header: syscall.NlMsghdr{Type: sockDiagByFamily, Flags: syscall.NLM_F_REQUEST}, Family: syscall.AF_INET, Protocol: syscall.IPPROTO_TCP,
		States: anyState, ID: socketID{Cookie: [2]uint32{noCookie, noCookie}},
	}
	request.Header.Len = uint32(binary.Size(request))
	binary.BigEndian.PutUint16(request.ID.LocalPort[:], local.Port())
	binary.BigEndian.PutUint16(request.ID.RemotePort[:], remote.Port())
	copy(request.ID.Local[:], local.Addr().AsSlice())
	copy(request.ID.Remote[:], remote.Addr().AsSlice())
	var encoded bytes.Buffer
	if err := binary.Write(&encoded, binary.NativeEndian, request); err != nil {
		return 0, Error.Wrap(err)
	}
	socket, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, sockDiagProtocol)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer func() { _ = syscall.Close(socket) }() // nothing more is asked
	if err := syscall.Sendto(socket, encoded.Bytes(), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, Error.Wrap(err)
	}
	received := make([]byte, maxDiagAnswer)
	count, _, err := syscall.Recvfrom(socket, received, 0)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	var answer diagAnswer
	err = binary.Read(bytes.NewReader(received[:count]), binary.NativeEndian, &answer)
	// Without such a connection, the kernel answers with a listener at the local address.
	if err != nil || answer.Header.Type != sockDiagByFamily || answer.ID.RemotePort != request.ID.RemotePort {
		return 0, Error.New("no connection from %s to %s", local, remote)
	}
	return answer.Inode, nil
}
