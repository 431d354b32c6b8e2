package cfhttp

import "strings"

// maxScannedLine is how much of a line of a head is looked at: more than a version and a status, or
// the name of the field that is looked for.
const maxScannedLine = 32

// These are the states of a headScanner.
const (
	scanStatus headState = iota
	scanFields
	scanDone
)

type (
	headState int

	// headScanner finds a Transfer-Encoding in the head of a response of HTTP/1.0 while the head is
	// read. The framing of such a message is faulty, whatever else it says; net/http removes the field
	// and takes the chunks for the body.
	headScanner struct {
		state headState
		// line holds the first n bytes of the current line.
		line [maxScannedLine]byte
		n    int
		// informational is set in the head of a response that another one follows, http10 in one of
		// HTTP/1.0.
		informational, http10 bool
		faulty                bool
	}
)

// scan reads the next bytes of a connection.
func (s *headScanner) scan(p []byte) {
	for _, b := range p {
		switch {
		case s.state == scanDone:
			return
		case b == '\n':
			s.endLine(strings.TrimSuffix(string(s.line[:s.n]), "\r"))
			s.n = 0
		case s.n < maxScannedLine:
			s.line[s.n] = b
			s.n++
		}
	}
}

func (s *headScanner) endLine(line string) {
	if s.state == scanStatus {
		version, status, _ := strings.Cut(line, " ")
		s.http10 = version == "HTTP/1.0"
		status = strings.TrimLeft(status, " ")
		s.informational = strings.HasPrefix(status, "1") && !strings.HasPrefix(status, "101")
		s.state = scanFields
		if !s.http10 && !s.informational {
			s.state = scanDone
		}
		return
	}
	if line == "" {
		s.state = scanDone
		if s.informational {
			s.state = scanStatus
		}
		return
	}
	name, _, _ := strings.Cut(line, ":")
	s.faulty = s.faulty || s.http10 && strings.EqualFold(name, "Transfer-Encoding")
}
