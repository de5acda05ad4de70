package sim

import (
	"bytes"
	"strconv"
	"strings"
)

// head is what stands ahead of the body of a request or an answer.
type head struct {
	first  string // line
	fields string
	length int // of the body, -1 if it can't be read
	size   int // bytes of the head
}

// readHead reads the head that b begins with; ok is false while it is not whole.
func readHead(b []byte) (h head, ok bool) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		return h, false
	}
	text := string(b[:end+2])
	h.first, h.fields, _ = strings.Cut(text, "\r\n")
	h.size = end + 4
	if v := h.get("Content-Length"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			n = -1
		}
		h.length = n
	}
	return h, true
}

func (h *head) get(name string) string {
	for rest := h.fields; rest != ""; {
		line, more, _ := strings.Cut(rest, "\r\n")
		rest = more
		if len(line) > len(name) && line[len(name)] == ':' && strings.EqualFold(line[:len(name)], name) {
			return strings.TrimSpace(line[len(name)+1:])
		}
	}
	return ""
}

// word is one of the words of the first line.
func (h *head) word(n int) string {
	f := strings.Fields(h.first)
	if n >= len(f) {
		return ""
	}
	return f[n]
}

func (h *head) status() int {
	n, err := strconv.Atoi(h.word(1))
	if err != nil || !strings.HasPrefix(h.first, "HTTP/1.") {
		return 0
	}
	return n
}

// answer is an answer with a body.
func answer(status int, body string, fields ...string) []byte {
	b := make([]byte, 0, 128+len(body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, " X\r\n"...)
	for _, f := range fields {
		b = append(append(b, f...), "\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}
