package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"
)

const (
	nonceSize        = 16
	proofSize        = sha256.Size
	handshakeTimeout = 2 * time.Second
)

// The roles prevent the replay of one side's proof as the other's.
const (
	roleDialer   = "dialer"
	roleAcceptor = "acceptor"
)

func proof(key []byte, role string, ownNonce, otherNonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(role), ownNonce, otherNonce} {
		_, _ = mac.Write(part) // a hash returns no error
	}
	return mac.Sum(nil)
}

// handshake verifies on both sides of a new connection that the other has the peer key:
// each sends a nonce, then a proof, which is an HMAC of both nonces with the peer key.
// The error is of type Forged if the proof received is wrong.
func handshake(c net.Conn, key []byte, ownRole, otherRole string) error {
	if err := c.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	ownNonce := make([]byte, nonceSize)
	if _, err := rand.Read(ownNonce); err != nil {
		return err
	}
	if _, err := c.Write(ownNonce); err != nil {
		return err
	}
	otherNonce := make([]byte, nonceSize)
	if _, err := io.ReadFull(c, otherNonce); err != nil {
		return err
	}
	if _, err := c.Write(proof(key, ownRole, ownNonce, otherNonce)); err != nil {
		return err
	}
	got := make([]byte, proofSize)
	if _, err := io.ReadFull(c, got); err != nil {
		return err
	}
	if !hmac.Equal(got, proof(key, otherRole, otherNonce, ownNonce)) {
		return Forged.New("the other side of %s lacks the peer key", c.RemoteAddr())
	}
	return c.SetReadDeadline(time.Time{})
}
