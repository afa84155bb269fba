// Package head checks the head of an HTTP/1 answer before net/http parses it.
//
// # Usage
//
//	var c head.Checker
//	end, err := c.Line([]byte("HTTP/1.1 200 OK"))
//	end, err = c.Line([]byte("Content-Length: 2"))
//	end, err = c.Line(nil) // end is true
//
// The parser of net/http keeps a field whose name holds a blank under that name, and joins a
// line that begins with a blank to the one before. Either way it does not see a field that
// says where the body ends, and the answer gets another body than was sent. It also ignores
// the transfer coding of an HTTP/1.0 answer.
package head

import (
	"bytes"
	"strings"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"
)

// Checker checks the lines of one head in order. Its zero value expects the status line.
type Checker struct {
	// fields is set after the status line.
	fields bool
	// noCoding is set if the version of the answer has no transfer codings.
	noCoding bool
}

// Line checks the next line, which is given without its line break. It reports whether the
// line ends the head.
func (c *Checker) Line(line []byte) (end bool, err error) {
	if !c.fields {
		if !bytes.HasPrefix(line, []byte("HTTP/1.")) {
			return false, errorx.IllegalFormat.New("%.100q is no status line of HTTP/1", line)
		}
		c.fields = true
		c.noCoding = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
		return false, nil
	}
	if len(line) == 0 {
		return true, nil
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	if !httpguts.ValidHeaderFieldName(string(name)) {
		return false, errorx.IllegalFormat.New("the name of the field %.100q is not valid", line)
	}
	if c.noCoding && strings.EqualFold(string(name), "Transfer-Encoding") {
		return false, errorx.IllegalFormat.New("an HTTP/1.0 answer has the transfer coding %.100q", line)
	}
	return false, nil
}

// ValidNames reports whether the names of all fields are valid.
func ValidNames(fields map[string][]string) bool {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
	}
	return true
}
