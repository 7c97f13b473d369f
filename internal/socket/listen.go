package socket

import (
	"errors"
	"net"
	"time"
)

// acceptAgain is how long a listener rests that can't take a connection.
const acceptAgain = 20 * time.Millisecond

// Patient is a listener that outlasts failures to take a connection. Servers that give up at
// the first of them are deaf for good once the process has been out of descriptors for a
// moment.
type Patient struct{ net.Listener }

// Accept implements net.Listener. It fails only once the listener is closed.
func (l Patient) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		time.Sleep(acceptAgain)
	}
}
