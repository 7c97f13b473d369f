package grammar

import "strings"

const (
	// Protocol is what each status line begins with.
	Protocol = "HTTP/1."
	// minStatus and maxStatus are the least and the greatest status.
	minStatus = 100
	maxStatus = 599
)

// parseStatusLine returns the status of a status line and the minor version of its protocol: the protocol with that
// version, a blank, three digits, a blank, and a reason, which may be empty.
func parseStatusLine(line string) (status int, minorVersion byte, err error) {
	invalid := &Error{Part: PartStatusLine, Text: line}
	rest, ok := strings.CutPrefix(line, Protocol)
	if !ok || len(rest) < len("1 200 ") || !isDigit(rest[0]) || rest[1] != ' ' || rest[5] != ' ' {
		return 0, 0, invalid
	}
	for _, digit := range []byte(rest[2:5]) {
		if !isDigit(digit) {
			return 0, 0, invalid
		}
		status = 10*status + int(digit-'0')
	}
	if status < minStatus || status > maxStatus || !isText(rest[6:]) {
		return 0, 0, invalid
	}
	return status, rest[0], nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
