package grammar

import "strings"

// The statuses whose responses never have a body, although their head may have its length (304).
const (
	minFinalStatus    = 200
	statusNoContent   = 204
	statusNotModified = 304
)

// Length is what a head says about the length of a body.
type Length struct {
	Bytes   int64 // -1 if it isn't given
	Chunked bool
}

// framing collects the fields that may appear once only, of which two determine where a body ends.
type framing struct {
	seen   map[string]bool // by lower-case name
	length Length
}

// once are the fields that must not be repeated: the length and the type of a body.
var once = map[string]bool{"content-length": true, "transfer-encoding": true, "content-type": true}

// add takes the next field of the head.
func (f *framing) add(field Field) error {
	name := strings.ToLower(field.Name)
	if !once[name] {
		return nil
	}
	if f.seen == nil {
		f.seen, f.length.Bytes = map[string]bool{}, -1
	}
	invalid := &Error{Part: PartFraming, Text: field.Name + ": " + field.Value}
	if f.seen[name] {
		return invalid
	}
	f.seen[name] = true
	switch name {
	case "content-length":
		bytes, ok := parseNumber(field.Value, 10)
		if !ok {
			return invalid
		}
		f.length.Bytes = bytes
	case "transfer-encoding":
		if !strings.EqualFold(field.Value, "chunked") {
			return invalid
		}
		f.length.Chunked = true
	}
	return nil
}

// of returns the length of the body. It must be given in one way at most, not in chunks before HTTP/1.1, and not for a
// status that has no body.
func (f *framing) of(status int, minorVersion byte) (Length, error) {
	if f.seen == nil {
		return Length{Bytes: -1}, nil
	}
	given := f.length
	none := status < minFinalStatus || status == statusNoContent
	switch {
	case given.Chunked && (given.Bytes >= 0 || minorVersion == '0' || none):
		return Length{}, &Error{Part: PartFraming, Text: "chunks"}
	case given.Bytes > 0 && none:
		return Length{}, &Error{Part: PartFraming, Text: "a length without a body"}
	default:
		return given, nil
	}
}
