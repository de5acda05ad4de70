package grpcmux

import (
	"fmt"
	"strconv"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Domain is the domain of the google.rpc.ErrorInfo that this package's errors carry.
const Domain = "curlewmux"

// Reasons in google.rpc.ErrorInfo.
const (
	ReasonRefused  = "REFUSED"   // to call again is harmless
	ReasonFailed   = "FAILED"    // nothing is promised
	ReasonCanceled = "CANCELED"  // the caller's context ended
	ReasonClosed   = "CLOSED"    // the Core, or the client connection, is closed
	ReasonIDInUse  = "ID_IN_USE" // another call has the id
	ReasonIDEnded  = "ID_ENDED"  // a call had the id
	ReasonInvalid  = "INVALID"   // it is no call that could be taken on
)

const mayHaveRun = "may_have_run"

// MayHaveRun tells whether the call behind an error of this package may have run at a partner. known is false for other
// errors: a partner's own status, or gRPC's own refusal to send a request.
func MayHaveRun(err error) (may, known bool) {
	for _, d := range status.Convert(err).Details() {
		if i, ok := d.(*errdetails.ErrorInfo); ok && i.GetDomain() == Domain {
			may, err := strconv.ParseBool(i.GetMetadata()[mayHaveRun])
			return may, err == nil
		}
	}
	return false, false
}

// fault is an error as callers get it.
type fault struct {
	code   codes.Code
	reason string
	id     string
	may    bool          // it may have run
	again  time.Duration // for ReasonRefused: come again after so long
	text   string
}

func (f *fault) err() error {
	info := &errdetails.ErrorInfo{
		Reason: f.reason, Domain: Domain, Metadata: map[string]string{mayHaveRun: strconv.FormatBool(f.may)},
	}
	if f.id != "" {
		info.Metadata["id"] = f.id
	}
	details := []protoadapt.MessageV1{protoadapt.MessageV1Of(info)}
	if f.reason == ReasonRefused {
		details = append(details, protoadapt.MessageV1Of(&errdetails.RetryInfo{RetryDelay: durationpb.New(f.again)}))
	}
	st := status.New(f.code, "curlewmux: "+f.text)
	if with, err := st.WithDetails(details...); err == nil { // else the code alone must do
		st = with
	}
	return st.Err()
}

// because adds what the last attempt met.
func because(text string, attempts int, last error) string {
	if attempts == 0 {
		return text + ", no attempt was made"
	}
	text = fmt.Sprintf("%s after %d attempts", text, attempts)
	if last != nil {
		text += ", the last: " + status.Convert(last).Message()
	}
	return text
}
