// Package head checks the heads of HTTP/1 answers as they arrive. It rejects what net/http
// accepts although RFC 9112 forbids it: field names with spaces, folded lines, control
// characters in values, and lines that do not end with CRLF. Such a line may hide where the
// body begins or ends. The package also bounds the size of a head.
package head

import (
	"errors"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxSize is the largest size of a head, in bytes.
	maxSize = 256 << 10
	// lineOverhead is counted for each line beside its bytes, since a parsed field takes
	// more memory than its bytes; HTTP/2 counts the same (RFC 9113, section 6.5.2).
	lineOverhead = 32
)

// Errors of Scanner.Scan.
var (
	errTooLarge   = errors.New("head: the head is too large")
	errStatusLine = errors.New("head: the status line is malformed")
	errName       = errors.New("head: the name of a field is malformed")
	errValue      = errors.New("head: the value of a field or the reason is malformed")
	errLineEnd    = errors.New("head: a carriage return is not followed by a line feed")
)

// statusLine is the form of a status line up to its reason. A 0 stands for any digit.
const statusLine = "HTTP/1.0 000"

// state is the place of the next byte.
type state int

const (
	// inStatusLine is up to the end of the status code.
	inStatusLine state = iota
	afterStatus
	atLineStart
	inName
	// inText is in a value or in the reason.
	inText
	atLineFeed
	// atLastLineFeed is at the end of the empty line behind the fields.
	atLastLineFeed
	// inBody is behind the head of a final answer.
	inBody
)

// Scanner checks the head of an answer and those of the informational answers (1xx)
// before it. The zero value is ready for use, by one goroutine at a time.
type Scanner struct {
	state state
	// length is how many bytes of the status line were read, up to the status code.
	length int
	status int
	// size is the size of the head so far.
	size int
}

// Scan checks the next bytes of a connection. It ignores what follows the head of the
// final answer. After an error, the answer must not be used.
func (s *Scanner) Scan(b []byte) error {
	for _, c := range b {
		if s.state == inBody {
			return nil
		}
		if s.size++; s.size > maxSize {
			return errTooLarge
		}
		if err := s.scan(c); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scanner) scan(c byte) error {
	switch s.state {
	case inStatusLine:
		return s.scanStatus(c)
	case afterStatus:
		if c != ' ' && c != '\r' {
			return errStatusLine
		}
		return s.scanText(c)
	case atLineStart:
		if c == '\r' {
			s.state = atLastLineFeed
			return nil
		}
		if c == ':' {
			return errName
		}
		return s.scanName(c)
	case inName:
		return s.scanName(c)
	case inText:
		return s.scanText(c)
	case atLineFeed, atLastLineFeed:
		if c != '\n' {
			return errLineEnd
		}
		s.endLine()
	}
	return nil
}

func (s *Scanner) scanStatus(c byte) error {
	want := statusLine[s.length]
	isDigit := c >= '0' && c <= '9'
	if want == '0' && !isDigit || want != '0' && c != want {
		return errStatusLine
	}
	if s.length >= len(statusLine)-3 {
		s.status = s.status*10 + int(c-'0')
	}
	s.length++
	if s.length == len(statusLine) {
		s.state = afterStatus
	}
	return nil
}

// scanName checks a byte of a name or the colon behind it.
func (s *Scanner) scanName(c byte) error {
	switch {
	case c == ':':
		s.state = inText
	case httpguts.IsTokenRune(rune(c)):
		s.state = inName
	default:
		return errName
	}
	return nil
}

// scanText checks a byte of a value or of the reason, or the end of its line.
func (s *Scanner) scanText(c byte) error {
	switch {
	case c == '\r':
		s.state = atLineFeed
	case c < ' ' && c != '\t' || c == 0x7f:
		return errValue
	default:
		s.state = inText
	}
	return nil
}

// endLine goes on to the next line, to the next answer behind an informational one, or
// to the body.
func (s *Scanner) endLine() {
	s.size += lineOverhead
	switch {
	case s.state == atLineFeed:
		s.state = atLineStart
	case s.status < http.StatusOK && s.status >= http.StatusContinue && s.status != http.StatusSwitchingProtocols:
		*s = Scanner{}
	default:
		s.state = inBody
	}
}
