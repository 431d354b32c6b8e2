package cfgate

// chunkScanner finds the end of a body in chunks. net/http checks that the body is well-formed; the
// scanner only follows it. The zero value is ready for the first byte.
type chunkScanner struct {
	state chunkState
	// left is the size of the current chunk, while it is read and then as it is consumed.
	left int64
	// lineBytes is the length of the current trailer line without a final CR.
	lineBytes int
}

type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkData
	chunkDataEnd
	chunkTrailer
)

// maxChunk bounds the size of a chunk that is followed.
const maxChunk = 1 << 40

// scan follows bytes of a body. It returns how many belong to it, whether it has ended, and whether
// it can be followed further.
func (s *chunkScanner) scan(b []byte) (n int, done, ok bool) {
	for n < len(b) {
		ch := b[n]
		if s.state == chunkData {
			step := min(int64(len(b)-n), s.left)
			n += int(step)
			if s.left -= step; s.left == 0 {
				s.state = chunkDataEnd
			}
			continue
		}
		n++
		switch s.state {
		case chunkSize:
			if digit, hex := hexDigit(ch); hex {
				if s.left = s.left<<4 | digit; s.left > maxChunk {
					return n, false, false
				}
				continue
			}
			s.state = chunkExtension
			fallthrough
		case chunkExtension:
			if ch != '\n' {
				continue
			}
			if s.state = chunkData; s.left == 0 {
				s.state = chunkTrailer
			}
		case chunkDataEnd:
			if ch == '\n' {
				s.state = chunkSize
			} else if ch != '\r' {
				return n, false, false
			}
		case chunkTrailer:
			switch {
			case ch == '\n' && s.lineBytes == 0:
				return n, true, true
			case ch == '\n':
				s.lineBytes = 0
			case ch != '\r':
				s.lineBytes++
			}
		}
	}
	return n, false, true
}

func hexDigit(ch byte) (int64, bool) {
	switch {
	case '0' <= ch && ch <= '9':
		return int64(ch - '0'), true
	case 'a' <= ch && ch <= 'f':
		return int64(ch-'a') + 10, true
	case 'A' <= ch && ch <= 'F':
		return int64(ch-'A') + 10, true
	}
	return 0, false
}
