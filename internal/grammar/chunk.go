package grammar

import (
	"strconv"
	"strings"
)

// maxSizeDigits is the greatest number of digits of a chunk's size: other parsers take no more, whatever the value.
const maxSizeDigits = 16

// ParseChunkSize parses the line before a chunk, without its end: a size in hexadecimal digits, and extensions. It returns
// the size in bytes.
func ParseChunkSize(line string) (int64, error) {
	extensions := strings.TrimLeft(line, hexDigits)
	digits := strings.TrimSuffix(line, extensions)
	size, ok := parseNumber(digits, 16)
	if !ok || len(digits) > maxSizeDigits || !isExtensions(extensions) {
		return 0, &Error{Part: PartChunkSize, Text: line}
	}
	return size, nil
}

const (
	decimalDigits = "0123456789"
	hexDigits     = decimalDigits + "abcdefABCDEF"
)

// parseNumber parses a number that has only digits of a base, 10 or 16.
func parseNumber(text string, base int) (n int64, ok bool) {
	digits := decimalDigits
	if base == 16 {
		digits = hexDigits
	}
	if text == "" || strings.Trim(text, digits) != "" {
		return 0, false
	}
	n, err := strconv.ParseInt(text, base, 64)
	return n, err == nil
}

// isExtensions reports whether a text consists of extensions of a chunk: each a semicolon, a token, and possibly an equals
// sign and a token or a quoted text, with blanks before any of these.
func isExtensions(text string) bool {
	for text != "" {
		rest, ok := strings.CutPrefix(trimBlanks(text), ";")
		if !ok {
			return false
		}
		if rest, ok = cutToken(trimBlanks(rest)); !ok {
			return false
		}
		text = rest
		if value, ok := strings.CutPrefix(trimBlanks(rest), "="); ok {
			if text, ok = cutValue(trimBlanks(value)); !ok {
				return false
			}
		}
	}
	return true
}

func trimBlanks(text string) string { return strings.TrimLeft(text, " \t") }

// cutToken returns what follows the token that a text begins with.
func cutToken(text string) (rest string, ok bool) {
	n := 0
	for n < len(text) && isTokenByte(text[n]) {
		n++
	}
	return text[n:], n > 0
}

// cutValue returns what follows the token or the quoted text that a text begins with.
func cutValue(text string) (rest string, ok bool) {
	quoted, ok := strings.CutPrefix(text, `"`)
	if !ok {
		return cutToken(text)
	}
	for i := 0; i < len(quoted); i++ {
		switch {
		case quoted[i] == '"':
			return quoted[i+1:], true
		case isControl(quoted[i]):
			return "", false
		case quoted[i] == '\\':
			i++
			if i < len(quoted) && isControl(quoted[i]) {
				return "", false
			}
		}
	}
	return "", false
}
