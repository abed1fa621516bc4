package gate

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestAnswerResetDuringUploadIsNoAnswer guards against an answer without a length that is
// reset while the request is still being sent, and whose first part is taken as whole.
func TestAnswerResetDuringUploadIsNoAnswer(t *testing.T) {
	address := startService(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart of the answer")
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	request := &ServiceRequest{Method: "POST", URI: "/", Body: make([]byte, 32<<20)}
	if answer, err := NewServiceClient(nil).Call(t.Context(), address, request); err == nil {
		t.Errorf("a reset was taken as the end of %q", answer.Body)
	}
}
