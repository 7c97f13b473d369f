package config

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/joomcode/errorx"

	"github.com/tamarindstep/tamarindstep/wire"
)

// Corrupt is the error for a stored document that can't be decoded.
var Corrupt = errorx.NewNamespace("config").NewType("corrupt")

// maxApplyIDs is the number of apply identifiers that a document stores.
const maxApplyIDs = 32

// NewDocument returns the next generation after a document (nil for none) with a new text.
func NewDocument(before *wire.Document, applyID string, text []byte) (*wire.Document, error) {
	out, err := WrapDocument(before.GetGeneration()+1, text)
	if err != nil {
		return nil, err
	}
	applies := append(before.GetApplies(), applyID)
	applies = applies[max(0, len(applies)-maxApplyIDs):]
	out.Applies = applies
	return out, nil
}

// WrapDocument returns a document with a generation and a text, which it compresses.
func WrapDocument(generation uint64, text []byte) (*wire.Document, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return &wire.Document{Generation: generation, Text: b.Bytes()}, nil
}

// DocumentText returns the decompressed text of a document.
func DocumentText(d *wire.Document) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(d.GetText()))
	if err != nil {
		return nil, Corrupt.Wrap(err, "generation %d is not compressed text", d.GetGeneration())
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxSize+1))
	if err != nil {
		return nil, Corrupt.Wrap(err, "generation %d is cut off", d.GetGeneration())
	}
	if len(text) > MaxSize {
		return nil, Corrupt.New("generation %d is larger than %d bytes", d.GetGeneration(), MaxSize)
	}
	return text, nil
}
