package dogwoodpeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"time"
)

// nonceSize is the size of the hash; a longer nonce adds no security.
const nonceSize = sha256.Size

// The labels prevent the proof of one side from being replayed as that of the other.
const (
	serverLabel = "dogwoodpeer 1 server"
	clientLabel = "dogwoodpeer 1 client"
)

var errKeyMismatch = errors.New("the other end has another key")

// Each side proves that it has the key without sending it: the server sends a nonce, the
// client answers with a second nonce and a keyed hash over both, and the server answers with
// a keyed hash over both.

func acceptHandshake(conn net.Conn, key []byte) error {
	return withHandshakeTimeout(conn, func() error {
		challenge := make([]byte, nonceSize)
		if _, err := rand.Read(challenge); err != nil {
			return Error.Wrap(err)
		}
		if _, err := conn.Write(challenge); err != nil {
			return Error.Wrap(err)
		}
		answer := make([]byte, nonceSize+sha256.Size)
		if _, err := io.ReadFull(conn, answer); err != nil {
			return Error.Wrap(err)
		}
		nonce, got := answer[:nonceSize], answer[nonceSize:]
		if !hmac.Equal(got, proof(key, clientLabel, challenge, nonce)) {
			return Error.Wrap(errKeyMismatch)
		}
		_, err := conn.Write(proof(key, serverLabel, challenge, nonce))
		return Error.Wrap(err)
	})
}

func dialHandshake(conn net.Conn, key []byte) error {
	return withHandshakeTimeout(conn, func() error {
		challenge := make([]byte, nonceSize)
		if _, err := io.ReadFull(conn, challenge); err != nil {
			return Error.Wrap(err)
		}
		nonce := make([]byte, nonceSize)
		if _, err := rand.Read(nonce); err != nil {
			return Error.Wrap(err)
		}
		if _, err := conn.Write(append(nonce, proof(key, clientLabel, challenge, nonce)...)); err != nil {
			return Error.Wrap(err)
		}
		got := make([]byte, sha256.Size)
		if _, err := io.ReadFull(conn, got); err != nil {
			return Error.Wrap(err)
		}
		if !hmac.Equal(got, proof(key, serverLabel, challenge, nonce[:nonceSize])) {
			return Error.Wrap(errKeyMismatch)
		}
		return nil
	})
}

// withHandshakeTimeout runs a handshake under handshakeTimeout, so that a peer that sends
// nothing can't block a goroutine forever.
func withHandshakeTimeout(conn net.Conn, handshake func() error) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Error.Wrap(err)
	}
	if err := handshake(); err != nil {
		return err
	}
	return Error.Wrap(conn.SetDeadline(time.Time{}))
}

func proof(key []byte, label string, challenge, nonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(challenge)
	mac.Write(nonce)
	return mac.Sum(nil)
}
