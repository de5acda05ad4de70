package mail

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Reply is a server's answer to one command.
type Reply struct {
	Code     int
	Enhanced string   // enhanced status code (RFC 3463) of the last line, "" for none
	Lines    []string // the texts, without codes
}

// Kind is the first digit of the code.
func (r *Reply) Kind() int { return r.Code / 100 }

// String is the reply in one line, for people.
func (r *Reply) String() string {
	text := strings.Join(r.Lines, " ")
	if len(text) > mostText {
		text = text[:mostText]
	}
	if r.Enhanced != "" {
		text = r.Enhanced + " " + text
	}
	return strings.TrimSpace(fmt.Sprint(r.Code, " ", strings.ToValidUTF8(text, "?")))
}

// ErrReply says that a reply is out of form or over its bounds. Nothing after it on the connection can be told apart.
var ErrReply = errors.New("the reply can't be read")

// RFC 5321 allows 512 bytes a line (4.5.3.1.5). Servers that tell more in a text still say a clear code: up to lineMost
// it is read.
const (
	lineMost  = 2 << 10
	linesMost = 128
	mostText  = 400
)

// ReadReply reads one reply. An error that wraps ErrReply says that it is out of form; any other is the connection's,
// io.ErrUnexpectedEOF where it ended within a reply, and then there was none.
func ReadReply(br *bufio.Reader) (r Reply, err error) {
	for {
		line, err := readLine(br)
		switch {
		case errors.Is(err, io.EOF) && len(line)+len(r.Lines) > 0:
			return r, io.ErrUnexpectedEOF
		case err != nil:
			return r, err
		}
		code, text, more, ok := parseReplyLine(line)
		switch {
		case !ok, len(r.Lines) > 0 && code != r.Code:
			return r, fmt.Errorf("%w: %.80q", ErrReply, line)
		case len(r.Lines) == linesMost:
			return r, fmt.Errorf("%w: over %d lines", ErrReply, linesMost)
		}
		r.Code = code
		r.Enhanced, text = cutEnhanced(code, text)
		r.Lines = append(r.Lines, text)
		if !more {
			return r, nil
		}
	}
}

// readLine returns a line without its end; with an error what has come of it.
func readLine(br *bufio.Reader) (string, error) {
	var long []byte
	for {
		part, err := br.ReadSlice('\n')
		if len(long)+len(part) > lineMost {
			return "", fmt.Errorf("%w: a line over %d bytes", ErrReply, lineMost)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			long = append(long, part...)
		case err != nil:
			return string(append(long, part...)), err
		default:
			line := strings.TrimSuffix(string(append(long, part...)), "\n")
			return strings.TrimSuffix(line, "\r"), nil
		}
	}
}

func parseReplyLine(s string) (code int, text string, more, ok bool) {
	if len(s) < 3 || s[0] < '2' || s[0] > '5' || s[1] < '0' || s[1] > '9' || s[2] < '0' || s[2] > '9' {
		return 0, "", false, false
	}
	code = int(s[0]-'0')*100 + int(s[1]-'0')*10 + int(s[2]-'0')
	if len(s) == 3 {
		return code, "", false, true
	}
	if s[3] != ' ' && s[3] != '-' || strings.ContainsAny(s, "\r\x00") {
		return 0, "", false, false
	}
	return code, s[4:], s[3] == '-', true
}

// cutEnhanced takes an enhanced code off a text: one whose class fits the reply's.
func cutEnhanced(code int, s string) (enhanced, text string) {
	word, rest, _ := strings.Cut(s, " ")
	if !isEnhanced(code/100, word) {
		return "", s
	}
	return word, rest
}

// Enhanced is the first enhanced code of a class (2, 4 or 5) among the words of a text, "" if there is none.
func Enhanced(class int, text string) string {
	for word := range strings.FieldsSeq(text) {
		if isEnhanced(class, word) {
			return word
		}
	}
	return ""
}

func isEnhanced(class int, word string) bool {
	parts := strings.Split(word, ".")
	if len(parts) != 3 || parts[0] != string(rune('0'+class)) {
		return false
	}
	for _, p := range parts[1:] {
		if len(p) == 0 || len(p) > 3 || strings.Trim(p, "0123456789") != "" {
			return false
		}
	}
	return true
}
