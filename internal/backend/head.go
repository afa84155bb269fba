package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/head"
)

// readHead reads and checks the head of one answer, which may be an interim one. The
// trailer is checked when the body is read.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	if err := c.checkHead(); err != nil {
		return nil, errorx.Decorate(err, "read the head of the answer")
	}
	answer, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, errorx.Decorate(err, "read the head of the answer")
	}
	answer.Body = &checkedBody{ReadCloser: answer.Body, answer: answer}
	return answer, nil
}

// checkHead waits for a whole head and checks its lines. It leaves the head in the reader,
// whose buffer it enlarges if needed.
func (c *Conn) checkHead() error {
	var checker head.Checker
	for checked := 0; ; {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		length := bytes.IndexByte(buffered[checked:], '\n')
		if length < 0 {
			if err := c.bufferMore(); err != nil {
				return err
			}
			continue
		}
		line := bytes.TrimSuffix(buffered[checked:checked+length], []byte("\r"))
		if end, err := checker.Line(line); end || err != nil {
			return err
		}
		checked += length + 1
	}
}

// bufferMore waits for another byte beyond those that are buffered.
func (c *Conn) bufferMore() error {
	n := c.reader.Buffered()
	if n == c.reader.Size() {
		buffered, _ := c.reader.Peek(n)
		c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.headerLimit), 2*n)
	}
	_, err := c.reader.Peek(n + 1)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// checkedBody is the body of an answer. It ends with an error if the trailer is malformed.
type checkedBody struct {
	io.ReadCloser
	answer *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !head.ValidNames(b.answer.Trailer) {
		err = errorx.IllegalFormat.New("the trailer of the answer has a field whose name is not valid")
	}
	return n, err
}
