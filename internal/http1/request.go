package http1

import "strconv"

// AppendRequest appends the request line and the Host field that RFC 9112 requires. AppendField adds further fields and
// AppendBody completes the request. Method, host, path and field names are not checked: they are expected to come from
// the program itself.
func AppendRequest(b []byte, method, host, path string) []byte {
	b = append(append(append(b, method...), ' '), path...)
	b = append(b, " HTTP/1.1\r\n"...)
	return AppendField(b, "Host", host)
}

// AppendField appends a header field. Line breaks in the value become spaces, so that no value can inject a field.
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

// AppendIntField appends a header field with a number as its value.
func AppendIntField(b []byte, name string, value int64) []byte {
	b = append(append(b, name...), ": "...)
	return append(strconv.AppendInt(b, value, 10), "\r\n"...)
}

// AppendBody completes a request: it appends the length, the end of the head, and the body, which may be empty.
func AppendBody(b, body []byte) []byte {
	b = AppendIntField(b, "Content-Length", int64(len(body)))
	return append(append(b, "\r\n"...), body...)
}
