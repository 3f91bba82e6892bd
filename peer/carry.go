package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/samber/lo"
	"google.golang.org/grpc"

	"almondcove/carrier"
	"almondcove/job"
	"almondcove/peer/wire"
	"almondcove/schedule"
)

// maxMessage is the size of a message that entries accept from each other, in bytes. It is above
// that of any job, of a commit and of a page of the store, and far above that of a batch of calls.
const maxMessage = 16 << 20

// ServerOptions returns the options for the gRPC server of [RegisterJobs].
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.MaxRecvMsgSize(maxMessage)}
}

// Carry opens a stream to the entry at an address, which carries calls to VMs. The stream
// ends with ctx.
func (l *JobLinks) Carry(ctx context.Context, to netip.AddrPort) (carrier.Stream, error) {
	stream, err := call(l, to, func(c wire.JobsClient, _ struct{}) (grpc.BidiStreamingClient[wire.CarryRequest, wire.CarryReply], error) {
		return c.Carry(ctx)
	}, struct{}{})
	if err != nil {
		return nil, err
	}
	return &carryStream{stream: stream, links: l, to: to}, nil
}

// carryStream is the owner's end of a stream to a carrier.
type carryStream struct {
	stream grpc.BidiStreamingClient[wire.CarryRequest, wire.CarryReply]
	links  *JobLinks
	to     netip.AddrPort
}

// Send implements [carrier.Stream].
func (s *carryStream) Send(calls []carrier.Call) error {
	return s.stream.Send(&wire.CarryRequest{Calls: lo.Map(calls, func(c carrier.Call, _ int) *wire.Call { return encodeCall(c) })})
}

// Receive implements [carrier.Stream].
func (s *carryStream) Receive() ([]carrier.Reply, error) {
	batch, err := s.stream.Recv()
	if err != nil {
		return nil, err
	}
	s.links.recordAnswer(s.to)
	return lo.Map(batch.GetReplies(), func(r *wire.CallReply, _ int) carrier.Reply { return decodeReply(r) }), nil
}

// carryServerStream is the carrier's end of a stream.
type carryServerStream struct {
	stream grpc.BidiStreamingServer[wire.CarryRequest, wire.CarryReply]
}

// Send implements [carrier.ServerStream].
func (s carryServerStream) Send(replies []carrier.Reply) error {
	return s.stream.Send(&wire.CarryReply{Replies: lo.Map(replies, func(r carrier.Reply, _ int) *wire.CallReply { return encodeReply(r) })})
}

// Receive implements [carrier.ServerStream]. It leaves out calls without an order of a known
// kind, which an owner of a later version may send; they time out there.
func (s carryServerStream) Receive() ([]carrier.Call, error) {
	batch, err := s.stream.Recv()
	if err != nil {
		return nil, err
	}
	return lo.FilterMap(batch.GetCalls(), func(c *wire.Call, _ int) (carrier.Call, bool) { return decodeCall(c) }), nil
}

// Carry makes the calls to VMs of one stream.
func (s *jobServer) Carry(stream grpc.BidiStreamingServer[wire.CarryRequest, wire.CarryReply]) error {
	return carrier.Serve(stream.Context(), s.host.VMs(), carryServerStream{stream})
}

func encodeCall(c carrier.Call) *wire.Call {
	out := &wire.Call{Number: c.Number, Vm: c.VM, Address: c.Address.String(), Timeout: int64(c.Timeout)}
	switch o := c.Order.(type) {
	case carrier.Hold:
		out.Fence = o.Fence
		out.Order = &wire.Call_Hold{Hold: &wire.HoldOrder{Until: int64(o.Until), Seen: o.Seen, Wait: int64(o.Wait)}}
	case carrier.Start:
		out.Fence = o.Fence
		out.Order = &wire.Call_Start{Start: &wire.StartOrder{
			Run: encodeRun(o.Run), Spec: o.Spec, Checkpoint: o.Checkpoint, Until: int64(o.Until), Ticket: o.Ticket,
		}}
	case carrier.Stop:
		out.Fence = o.Fence
		out.Order = &wire.Call_Stop{Stop: &wire.StopOrder{Run: encodeRun(o.Run)}}
	case carrier.Pace:
		out.Fence = o.Fence
		out.Order = &wire.Call_Pace{Pace: &wire.PaceOrder{Run: encodeRun(o.Run), Percent: int32(o.Percent)}}
	}
	return out
}

// decodeCall decodes a call. It reports false if the call has no address or no order of a
// known kind.
func decodeCall(c *wire.Call) (carrier.Call, bool) {
	address, err := netip.ParseAddrPort(c.GetAddress())
	out := carrier.Call{Number: c.GetNumber(), VM: c.GetVm(), Address: address, Timeout: time.Duration(c.GetTimeout())}
	switch o := c.GetOrder().(type) {
	case *wire.Call_Hold:
		out.Order = carrier.Hold{Hold: schedule.Hold{
			VM: c.GetVm(), Fence: c.GetFence(), Until: time.Duration(o.Hold.GetUntil()), Seen: o.Hold.GetSeen(),
			Wait: time.Duration(o.Hold.GetWait()),
		}}
	case *wire.Call_Start:
		out.Order = carrier.Start{Start: schedule.Start{
			VM: c.GetVm(), Run: decodeRun(o.Start.GetRun()), Spec: o.Start.GetSpec(), Checkpoint: o.Start.GetCheckpoint(),
			Until: time.Duration(o.Start.GetUntil()), Fence: c.GetFence(), Ticket: o.Start.GetTicket(),
		}}
	case *wire.Call_Stop:
		out.Order = carrier.Stop{Stop: schedule.Stop{VM: c.GetVm(), Run: decodeRun(o.Stop.GetRun()), Fence: c.GetFence()}}
	case *wire.Call_Pace:
		out.Order = carrier.Pace{Pace: schedule.Pace{
			VM: c.GetVm(), Run: decodeRun(o.Pace.GetRun()), Percent: int(o.Pace.GetPercent()), Fence: c.GetFence(),
		}}
	}
	return out, err == nil && out.Order != nil
}

func encodeRun(r schedule.Run) *wire.Run {
	return &wire.Run{
		Job: string(r.Task.Job), Occurrence: int64(r.Task.Occurrence), Step: int64(r.Task.Step), Index: int64(r.Task.Index),
		Number: int64(r.Number),
	}
}

func decodeRun(r *wire.Run) schedule.Run {
	return schedule.Run{
		Task: job.Task{
			Job: job.ID(r.GetJob()), Occurrence: int(r.GetOccurrence()), Step: int(r.GetStep()), Index: int(r.GetIndex()),
		},
		Number: int(r.GetNumber()),
	}
}

func encodeReply(r carrier.Reply) *wire.CallReply {
	out := &wire.CallReply{Number: r.Number, Result: int32(r.Result)}
	if r.Result != schedule.Accepted {
		return out
	}
	out.Report = &wire.Report{
		Clock: int64(r.Report.Clock), Born: r.Report.Born.Unix(), Nanos: int32(r.Report.Born.Nanosecond()),
		Running: lo.Map(r.Report.Running, func(p schedule.Progress, _ int) *wire.Progress {
			return &wire.Progress{Run: encodeRun(p.Run), Checkpoint: p.Checkpoint, Percent: int64(p.Percent), Load: p.Load}
		}),
		Ended: lo.Map(r.Report.Ended, func(e schedule.End, _ int) *wire.End {
			return &wire.End{Number: e.Number, Run: encodeRun(e.Run), Outcome: int32(e.Outcome), Checkpoint: e.Checkpoint}
		}),
		MoreEnds: r.Report.MoreEnds,
	}
	return out
}

// decodeReply decodes a reply. A result of an unknown kind counts as no answer, and an
// outcome of an unknown kind as [schedule.Unknown].
func decodeReply(r *wire.CallReply) carrier.Reply {
	out := carrier.Reply{Number: r.GetNumber(), Result: schedule.Result(r.GetResult())}
	if out.Result < schedule.Accepted || out.Result > schedule.Refused {
		out.Result = schedule.Unanswered
	}
	report := r.GetReport()
	if report == nil {
		return out
	}
	out.Report = schedule.Report{
		Clock: time.Duration(report.GetClock()), Born: time.Unix(report.GetBorn(), int64(report.GetNanos())),
		Running: lo.Map(report.GetRunning(), func(p *wire.Progress, _ int) schedule.Progress {
			return schedule.Progress{Run: decodeRun(p.GetRun()), Checkpoint: p.GetCheckpoint(), Percent: int(p.GetPercent()), Load: p.GetLoad()}
		}),
		Ended: lo.Map(report.GetEnded(), func(e *wire.End, _ int) schedule.End {
			return schedule.End{Number: e.GetNumber(), Run: decodeRun(e.GetRun()), Outcome: decodeOutcome(e.GetOutcome()), Checkpoint: e.GetCheckpoint()}
		}),
		MoreEnds: report.GetMoreEnds(),
	}
	return out
}

func decodeOutcome(n int32) schedule.Outcome {
	if o := schedule.Outcome(n); o >= schedule.Unknown && o <= schedule.Alone {
		return o
	}
	return schedule.Unknown
}
