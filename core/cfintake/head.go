package cfintake

import (
	"errors"
)

const (
	// maxLeadingBytes is the number of bytes of empty lines that are ignored before a request.
	maxLeadingBytes = 4
	// bytesPerLine is what a line of a head costs besides its text: its place in the map of headers,
	// which grows by doubling, in the copy of the map that is forwarded, and in the sorted list of
	// which the copy is written.
	bytesPerLine = 256
	// endBytes is the size of the empty line at the end of a head, which does not count.
	endBytes = 2
	// copiesPerByte is the number of copies of a head's text: as it was read and as it was parsed.
	copiesPerByte = 2
)

var (
	// ErrHeadTooLarge means that a request's head exceeds the limit.
	ErrHeadTooLarge = errors.New("request header over the limit")
	// ErrNoRequestLine means that empty lines were sent where a request was expected.
	ErrNoRequestLine = errors.New("no request line")
)

// HeadScanner finds the end of a request's head and counts what it costs, before it is parsed. The
// zero value is ready for the first byte.
type HeadScanner struct {
	// Limit is the largest size in bytes of the request line, and of all header lines together.
	Limit int64

	leading     int
	requestLine int64
	headerBytes int64
	lines       int64
	// inHeader is set once the request line has ended.
	inHeader bool
	// lineBytes is the length of the current line without a final CR, which cr reports.
	lineBytes int64
	cr        bool
}

// Scan reads the next bytes of the head. It returns how many of them belong to it, and whether it
// is complete. skip is the number of bytes, before the first one of the request line, that are to
// be ignored. Errors are ErrHeadTooLarge and ErrNoRequestLine.
func (s *HeadScanner) Scan(b []byte) (n, skip int, done bool, err error) {
	for i, ch := range b {
		if s.requestLine == 0 && (ch == '\r' || ch == '\n') {
			skip++
			if s.leading++; s.leading > maxLeadingBytes {
				return i, skip, false, ErrNoRequestLine
			}
			continue
		}
		if s.inHeader {
			s.headerBytes++
		} else {
			s.requestLine++
		}
		if s.headerBytes > s.Limit+endBytes || s.requestLine > s.Limit {
			return i, skip, false, ErrHeadTooLarge
		}
		if ch == '\n' {
			s.lines++
			if s.inHeader && s.lineBytes == 0 {
				return i + 1, skip, true, nil
			}
			s.inHeader, s.lineBytes, s.cr = true, 0, false
			continue
		}
		if s.cr { // the one before did not end the line
			s.lineBytes++
		}
		if s.cr = ch == '\r'; !s.cr {
			s.lineBytes++
		}
	}
	return len(b), skip, false, nil
}

// Cost returns the memory in bytes that the head takes once it is parsed and forwarded.
func (s *HeadScanner) Cost() int64 {
	return copiesPerByte*(s.requestLine+s.headerBytes) + bytesPerLine*s.lines
}
