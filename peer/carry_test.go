package peer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondcove/carrier"
	"almondcove/job"
	"almondcove/peer/wire"
	"almondcove/schedule"
)

var testRun = schedule.Run{Task: job.Task{Job: "j", Occurrence: 1, Step: 2, Index: 3}, Number: 1_000_000_007}

// TestCallCodec guards against a member of an order that gets lost on the way to a carrier.
func TestCallCodec(t *testing.T) {
	for name, order := range map[string]carrier.Order{
		"hold": carrier.Hold{Hold: schedule.Hold{VM: "v", Fence: 9, Until: time.Hour, Seen: 5, Wait: time.Second}},
		"start": carrier.Start{Start: schedule.Start{
			VM: "v", Run: testRun, Spec: "spec", Checkpoint: "c", Until: time.Minute, Fence: 9, Ticket: "t",
		}},
		"stop": carrier.Stop{Stop: schedule.Stop{VM: "v", Run: testRun, Fence: 9}},
		"pace": carrier.Pace{Pace: schedule.Pace{VM: "v", Run: testRun, Percent: 40, Fence: 9}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			call := carrier.Call{
				Number: 7, VM: "v", Address: netip.MustParseAddrPort("10.0.0.1:80"), Timeout: time.Second, Order: order,
			}
			data, err := proto.Marshal(encodeCall(call))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var sent wire.Call
			g.Expect(proto.Unmarshal(data, &sent)).To(gomega.Succeed())
			got, ok := decodeCall(&sent)
			g.Expect(ok).To(gomega.BeTrue())
			g.Expect(got).To(gomega.Equal(call))
		})
	}
}

// TestCallCodecInvalid checks that calls without an address or an order are left out.
func TestCallCodecInvalid(t *testing.T) {
	for name, call := range map[string]*wire.Call{
		"empty":      {},
		"no order":   {Address: "10.0.0.1:80"},
		"no address": {Order: &wire.Call_Stop{Stop: &wire.StopOrder{}}},
	} {
		_, ok := decodeCall(call)
		gomega.NewWithT(t).Expect(ok).To(gomega.BeFalse(), name)
	}
}

// TestReplyCodec guards against a report that reaches the owner incomplete: runs that are
// missing in it count as ended.
func TestReplyCodec(t *testing.T) {
	report := schedule.Report{
		Clock: time.Hour, Born: time.Unix(1_700_000_000, 123),
		Running: []schedule.Progress{{Run: testRun, Checkpoint: "c", Percent: 40, Load: 12}},
		Ended:   []schedule.End{{Number: 4, Run: testRun, Outcome: schedule.Alone, Checkpoint: "d"}},
	}
	cut := report
	cut.MoreEnds = true
	unborn := report
	unborn.Born = time.Time{}
	for name, reply := range map[string]carrier.Reply{
		"report":       {Number: 7, Result: schedule.Accepted, Report: report},
		"more ends":    {Number: 7, Result: schedule.Accepted, Report: cut},
		"no birth":     {Number: 7, Result: schedule.Accepted, Report: unborn},
		"not accepted": {Number: 7, Result: schedule.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			data, err := proto.Marshal(encodeReply(reply))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var sent wire.CallReply
			g.Expect(proto.Unmarshal(data, &sent)).To(gomega.Succeed())
			got := decodeReply(&sent)
			g.Expect(got.Report.Born.Equal(reply.Report.Born)).To(gomega.BeTrue())
			g.Expect(got.Report.Born.IsZero()).To(gomega.Equal(reply.Report.Born.IsZero()))
			got.Report.Born = reply.Report.Born
			g.Expect(got).To(gomega.Equal(reply))
		})
	}
	g := gomega.NewWithT(t)
	g.Expect(decodeReply(&wire.CallReply{Result: 99}).Result).To(gomega.Equal(schedule.Unanswered))
	g.Expect(decodeOutcome(99)).To(gomega.Equal(schedule.Unknown))
}
