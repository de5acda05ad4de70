// Package grpcmux is curlewmux's core inside gRPC-Go: a client-side plug-in for programs that call partners through an
// RPC library. Which endpoint a call goes to, whether it goes again and what is turned away is decided by the same
// engine and module as in the daemon; nothing is sent again below them.
//
// A program makes one Core and, with it, a client connection in place of grpc.NewClient's:
//
//	core, err := grpcmux.New(settings)
//	conn, err := core.NewClient("curlewmux:///7", insecure.NewCredentials())
//	client := pb.NewOrdersClient(conn) // generated stubs are as they are
//
// Unary calls are supported. A streaming call ends at once with codes.Unimplemented.
//
// # What the caller gets
//
// Each call gets exactly one answer.
//
//	delivered         the reply, or the partner's own status, as it came
//	refused           Unavailable with google.rpc.RetryInfo: to call again after that is harmless, by a new id
//	failed            DeadlineExceeded if its time was up, else Unknown: nothing is promised
//	called off        Canceled or DeadlineExceeded, as gRPC does: the caller's context ended
//	Core closed       Canceled
//	id is in use      AlreadyExists: another call of this process has it, in this Core or another one
//	id ended before   AlreadyExists: its call was delivered, or may have run, or had another request
//	not a call        InvalidArgument: no route or an unknown class or tenant, or no key in a class that needs one
//	can't be sent     as gRPC's own: over the size limit, credentials that fail
//
// All but the first and the last carry google.rpc.ErrorInfo of the domain "curlewmux", whose metadata says in
// "may_have_run" whether the call may have run; MayHaveRun reads it.
package grpcmux
