package grammar

import "strings"

// Responses with a status below minFinalStatus, or statusNoContent, have no body and don't give its length.
const (
	minFinalStatus  = 200
	statusNoContent = 204
)

// Length is what a head says about the length of a body.
type Length struct {
	Bytes   int64 // -1 if it isn't given
	Chunked bool
}

// single is a field that must not be repeated.
type single int

// The fields that must not be repeated: those that say how long a body is and of which type.
const (
	contentLength single = iota
	transferEncoding
	contentType
	singles // their number
)

var singleNames = [singles]string{"Content-Length", "Transfer-Encoding", "Content-Type"}

// framing collects the fields that must not be repeated, of which two determine where a body ends.
type framing struct {
	seen  [singles]bool
	bytes int64 // the length given
}

// add takes the next field of the head.
func (f *framing) add(field Field) error {
	for i, name := range singleNames {
		if strings.EqualFold(field.Name, name) {
			return f.addSingle(single(i), field)
		}
	}
	return nil
}

// addSingle takes a field that must not be repeated.
func (f *framing) addSingle(which single, field Field) error {
	valid := !f.seen[which]
	f.seen[which] = true
	switch which {
	case contentLength:
		bytes, ok := parseNumber(field.Value, 10)
		f.bytes, valid = bytes, valid && ok
	case transferEncoding:
		valid = valid && strings.EqualFold(field.Value, "chunked")
	}
	if !valid {
		return &Error{Part: PartFraming, Text: field.Name + ": " + field.Value}
	}
	return nil
}

// of returns the length of the body. It must be given in one way at most, not in chunks before HTTP/1.1, and not for a
// status that has no body.
func (f *framing) of(status int, minorVersion byte) (Length, error) {
	sized, chunked := f.seen[contentLength], f.seen[transferEncoding]
	none := status < minFinalStatus || status == statusNoContent
	switch {
	case chunked && (sized || minorVersion == '0' || none):
		return Length{}, &Error{Part: PartFraming, Text: "chunks"}
	case f.bytes > 0 && none:
		return Length{}, &Error{Part: PartFraming, Text: "a length without a body"}
	case sized:
		return Length{Bytes: f.bytes}, nil
	default:
		return Length{Bytes: -1, Chunked: chunked}, nil
	}
}
