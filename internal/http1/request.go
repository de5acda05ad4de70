package http1

import "strconv"

// AppendRequest begins a request: its first line, and the Host field that RFC 9112 asks for. Fields follow by
// AppendField, and AppendBody ends it. None of the three checks method, host, path or names: those are the program's.
func AppendRequest(b []byte, method, host, path string) []byte {
	b = append(append(append(b, method...), ' '), path...)
	b = append(b, " HTTP/1.1\r\n"...)
	return AppendField(b, "Host", host)
}

// AppendField adds a header field. Line breaks in its value become spaces, so that no value begins a field of its own.
func AppendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	from := len(b)
	b = append(b, value...)
	for i := from; i < len(b); i++ {
		if b[i] == '\r' || b[i] == '\n' {
			b[i] = ' '
		}
	}
	return append(b, "\r\n"...)
}

// AppendIntField adds a header field that holds a number.
func AppendIntField(b []byte, name string, value int64) []byte {
	b = append(append(b, name...), ": "...)
	return append(strconv.AppendInt(b, value, 10), "\r\n"...)
}

// AppendBody ends a request: its length, the end of the head, and the body, which may be empty.
func AppendBody(b, body []byte) []byte {
	b = AppendIntField(b, "Content-Length", int64(len(body)))
	return append(append(b, "\r\n"...), body...)
}
