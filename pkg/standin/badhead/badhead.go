// Package badhead lists answers of a peer in trouble: each has a head that is not valid
// HTTP/1.1 (RFC 9112), so that nothing of it counts.
package badhead

// fieldLines are lines of a head that are not fields, by what is wrong with them.
var fieldLines = map[string]string{
	"space in a name":                 "X Odd: 1",
	"space after a name":              "X-Odd : 1",
	"space after Content-Length":      "Content-Length : 1",
	"space after Transfer-Encoding":   "Transfer-Encoding : chunked",
	"space before a name":             " X-Odd: 1",
	"tab in a name":                   "X\tOdd: 1",
	"tab after a name":                "X-Odd\t: 1",
	"NUL in a name":                   "X\x00Odd: 1",
	"control byte in a name":          "X\x01Odd: 1",
	"delete byte in a name":           "X\x7fOdd: 1",
	"carriage return in a name":       "X\rOdd: 1",
	"byte outside of ASCII in a name": "X\xe9Odd: 1",
	"delimiter in a name":             "X(Odd): 1",
	"no name":                         ": 1",
	"no colon":                        "X-Odd",
}

// statuses are status codes outside of 100 to 599 (RFC 9110, 15).
var statuses = []string{"000", "007", "099", "600", "999"}

const (
	interimHead = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n"
	statusLine  = "HTTP/1.1 200 OK\r\n"
	headEnd     = "\r\n"
)

// Answers returns the answers by what is wrong with them. Each has the fields, complete
// lines, and the body in it, and ends with its connection unless the fields frame it.
func Answers(fields, body string) map[string]string {
	answers := map[string]string{}
	for name, line := range fieldLines {
		line += "\r\n"
		answers[name] = statusLine + fields + line + headEnd + body
		answers[name+", after an interim answer"] = interimHead + headEnd + statusLine + fields + line + headEnd + body
		answers[name+", in an interim answer"] = interimHead + line + headEnd + statusLine + fields + headEnd + body
	}
	for _, status := range statuses {
		answer := "HTTP/1.1 " + status + " Unknown\r\n" + fields + headEnd + body
		answers["status "+status] = answer
		answers["status "+status+", after an interim answer"] = interimHead + headEnd + answer
	}
	return answers
}
