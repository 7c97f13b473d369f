package grammar

import "strings"

// Field is a field of a head or a trailer.
type Field struct {
	Name  string
	Value string // without the blanks and tabs around it
}

// ParseField parses a line of a head or a trailer, without its end: a name, a colon, and a value. Lines that continue the
// one before are obsolete and not accepted.
func ParseField(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return Field{}, &Error{Part: PartField, Text: line}
	}
	value = strings.Trim(value, " \t")
	if !isText(value) {
		return Field{}, &Error{Part: PartField, Text: line}
	}
	return Field{Name: name, Value: value}, nil
}

// tokenMarks are the characters of a token beside letters and digits.
const tokenMarks = "!#$%&'*+-.^_`|~"

// isToken reports whether a text is a token, of which a field's name consists.
func isToken(text string) bool {
	for i := range len(text) {
		if !isTokenByte(text[i]) {
			return false
		}
	}
	return text != ""
}

func isTokenByte(b byte) bool {
	letter := b | 0x20
	return 'a' <= letter && letter <= 'z' || isDigit(b) || strings.IndexByte(tokenMarks, b) >= 0
}
