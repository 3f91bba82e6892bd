package limit_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"almondcove/limit"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		// Without a seed, as in CI, every run draws the same cases. A longer manual
		// run sets its own seed.
		_ = flag.Set("rapid.seed", "20261204")
		_ = flag.Set("rapid.checks", "5000")
	}
	os.Exit(m.Run())
}

// TestPartsAddUpAndAreMonotone guards against parts that together exceed the limit
// or leave units unused, and against a part that grows when the limit is lowered.
// With such a part, entries that have different revisions could together exceed
// both limits.
func TestPartsAddUpAndAreMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{3}`), 1, 22, rapid.ID).Draw(t, "centres")
		total := rapid.IntRange(0, 5000).Draw(t, "limit")
		lower := rapid.IntRange(0, total).Draw(t, "lower")
		sum := 0
		for _, c := range centres {
			for seat := range limit.SeatsPerCentre {
				part := limit.Part(total, centres, c, []int{seat})
				if limit.Part(lower, centres, c, []int{seat}) > part {
					t.Fatalf("seat %d of %s grows when the limit falls from %d to %d", seat, c, total, lower)
				}
				sum += part
			}
		}
		if sum != total {
			t.Fatalf("parts of %d add up to %d", total, sum)
		}
	})
}

// The durations and the team that the tests use.
const (
	loanTerm    = 4 * time.Second
	maxTaskTime = 10 * time.Second
	team        = "t"
)

// message is a request or a response in transit.
type message struct {
	kind string
	from int
	to   int
	loan limit.Loan
	sent time.Time
}

// model applies events in random order to the books of a few entries.
type model struct {
	t     *rapid.T
	now   time.Time
	limit int
	books []*limit.Book
	seats [][]int
	// crashedAt is when each entry crashed; it is zero while the entry runs.
	crashedAt []time.Time
	// running holds the tasks that are in fact running, the oldest first.
	running  []task
	inFlight []message
	// oldLimits holds the previous limits. Each applies until the tasks and loans
	// that began under it have ended.
	oldLimits []oldLimit
	lastID    int
}

// oldLimit is a previous limit that running tasks may still reach until the given
// time.
type oldLimit struct {
	units int
	until time.Time
}

type task struct {
	id       limit.AttemptID
	entry    int
	leaseEnd time.Time
}

func newModel(t *rapid.T, entries, units int) *model {
	m := &model{t: t, now: time.Unix(1_000_000, 0), limit: units}
	for i := range entries {
		m.books = append(m.books, limit.New(limit.Config{MaxTaskTime: maxTaskTime}))
		m.crashedAt = append(m.crashedAt, time.Time{})
		m.seats = append(m.seats, nil)
		for seat := i; seat < limit.SeatsPerCentre; seat += entries {
			m.seats[i] = append(m.seats[i], seat)
		}
	}
	m.configure()
	return m
}

func (m *model) configure() {
	for i, b := range m.books {
		b.SetOwnUnits(team, limit.Part(m.limit, []string{"c"}, "c", m.seats[i]))
	}
}

// drawEntry draws an entry and reports whether it is running.
func (m *model) drawEntry(label string) (int, bool) {
	i := rapid.IntRange(0, len(m.books)-1).Draw(m.t, label)
	return i, m.crashedAt[i].IsZero()
}

func (m *model) newID() string {
	m.lastID++
	return fmt.Sprint(m.lastID)
}

func (m *model) start() {
	i, ok := m.drawEntry("entry")
	m.lastID++
	id := limit.AttemptID(m.lastID)
	if ok && m.books[i].Start(team, id, m.now) {
		m.running = append(m.running, task{id: id, entry: i, leaseEnd: m.now.Add(maxTaskTime)})
	}
}

// end ends a task. Its entry may or may not get a report of the end.
func (m *model) end() {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "ended")
	r := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	if rapid.Bool().Draw(m.t, "reported") {
		m.books[r.entry].End(team, r.id)
	} else {
		m.books[r.entry].ExpireAt(team, r.id, r.leaseEnd)
	}
}

func (m *model) requestLoan() {
	borrower, ok := m.drawEntry("borrower")
	lender := rapid.IntRange(0, len(m.books)-1).Draw(m.t, "lender")
	if ok && borrower != lender {
		want := rapid.IntRange(1, 8).Draw(m.t, "want")
		m.inFlight = append(m.inFlight, message{kind: "ask", from: borrower, to: lender, sent: m.now, loan: limit.Loan{ID: m.newID(), Team: team, Units: want}})
	}
}

// renew requests a renewal of every loan of one entry.
func (m *model) renew() {
	borrower, ok := m.drawEntry("renewer")
	if !ok {
		return
	}
	for _, l := range m.books[borrower].LoansEndingBefore(team, m.now.Add(loanTerm), m.now) {
		var lender int
		_, _ = fmt.Sscan(l.Peer, &lender)
		m.inFlight = append(m.inFlight, message{kind: "ask", from: borrower, to: lender, sent: m.now, loan: l})
	}
}

func (m *model) returnLoans() {
	borrower, ok := m.drawEntry("returner")
	if !ok {
		return
	}
	loans := m.books[borrower].ReturnIdle(team, rapid.IntRange(0, 8).Draw(m.t, "spare"), m.now)
	loans = append(loans, m.books[borrower].TakeExpiredLoans(team, m.now)...)
	for _, l := range loans {
		var lender int
		_, _ = fmt.Sscan(l.Peer, &lender)
		m.inFlight = append(m.inFlight, message{kind: "return", from: borrower, to: lender, loan: l})
	}
}

// deliver draws a message in transit and delivers it, duplicates it or loses it.
// The borrower ignores a grant that arrives after the timeout of its call.
func (m *model) deliver() {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "message")
	msg := m.inFlight[i]
	outcome := rapid.SampledFrom([]string{"deliver", "deliver", "duplicate", "lose"}).Draw(m.t, "outcome")
	if outcome != "duplicate" {
		m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	}
	if outcome == "lose" || !m.crashedAt[msg.to].IsZero() {
		return
	}
	switch msg.kind {
	case "ask":
		loan := m.books[msg.to].Lend(msg.loan.ID, team, fmt.Sprint(msg.from), msg.loan.Units, loanTerm, m.now)
		if loan.Units > 0 {
			loan.Peer, loan.End = fmt.Sprint(msg.to), msg.sent.Add(loanTerm)
			m.inFlight = append(m.inFlight, message{kind: "grant", from: msg.to, to: msg.from, loan: loan, sent: msg.sent})
		}
	case "grant":
		if outcome == "duplicate" {
			// A response belongs to one call and is read only once.
			m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
		}
		if m.now.Sub(msg.sent) <= time.Second {
			m.books[msg.to].Borrow(msg.loan, m.now)
		}
	case "return":
		m.books[msg.to].AcceptReturn(msg.loan.ID, team, msg.loan.Units)
	}
}

func (m *model) crash() {
	i, ok := m.drawEntry("crashed")
	if ok && rapid.IntRange(0, 9).Draw(m.t, "crash") == 0 {
		m.crashedAt[i] = m.now
	}
}

// claimSeats gives the seats of crashed entries to a running entry, once the loans
// and tasks of the crashed entries have ended.
func (m *model) claimSeats() {
	claimer, ok := m.drawEntry("claimer")
	if !ok {
		return
	}
	for i, at := range m.crashedAt {
		if !at.IsZero() && m.now.Sub(at) > loanTerm+maxTaskTime+2*limit.ClockMargin {
			m.seats[claimer] = append(m.seats[claimer], m.seats[i]...)
			m.seats[i] = nil
		}
	}
	m.configure()
}

// advance moves the clock on and ends the tasks whose leases have expired.
func (m *model) advance() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "ms")) * time.Millisecond)
	m.running = slices.DeleteFunc(m.running, func(r task) bool {
		if m.now.Before(r.leaseEnd) {
			return false
		}
		// The upstream stops the task at the end of its lease.
		m.books[r.entry].ExpireAt(team, r.id, r.leaseEnd)
		return true
	})
}

// setLimit raises or lowers the limit. After that, only tasks on borrowed units may
// still start under the old limit.
func (m *model) setLimit() {
	m.oldLimits = append(m.oldLimits, oldLimit{m.limit, m.now.Add(loanTerm + maxTaskTime + limit.ClockMargin)})
	m.limit = rapid.IntRange(0, 30).Draw(m.t, "new limit")
	m.configure()
}

// check fails the test if more tasks run than the highest of the limits that still
// apply.
func (m *model) check() {
	highest := m.limit
	for _, p := range m.oldLimits {
		if m.now.Before(p.until) {
			highest = max(highest, p.units)
		}
	}
	if len(m.running) > highest {
		m.t.Fatalf("%d tasks run under a limit of %d", len(m.running), highest)
	}
}

// TestLimitHoldsThroughFaults guards against more running tasks than the limit
// allows after lost, late or duplicated messages, crashes of entries, and ends of
// tasks that are not reported.
func TestLimitHoldsThroughFaults(t *testing.T) {
	checkLimitThroughFaults(t, 11)
}

// TestLimitHoldsWhileItChanges guards against the same failure while the limit is
// raised and lowered.
func TestLimitHoldsWhileItChanges(t *testing.T) {
	checkLimitThroughFaults(t, 12)
}

// checkLimitThroughFaults checks the limit after each of a random sequence of
// events, which are drawn from 0 to last.
func checkLimitThroughFaults(t *testing.T, last int) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(1, 4).Draw(t, "entries"), rapid.IntRange(0, 30).Draw(t, "limit"))
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, last).Draw(t, "event") {
			case 12:
				m.setLimit()
			case 0, 1, 2, 3:
				m.start()
			case 4:
				m.end()
			case 5:
				m.requestLoan()
			case 6:
				m.renew()
			case 7:
				m.returnLoans()
			case 8:
				m.deliver()
			case 9:
				m.crash()
			case 10:
				m.claimSeats()
			case 11:
				m.advance()
			}
			m.check()
		}
	})
}

// TestEveryUnitBecomesUsableAgain guards against units that stay unusable after
// loans or lost messages, although every task and loan has ended.
func TestEveryUnitBecomesUsableAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 3, rapid.IntRange(1, 30).Draw(t, "limit"))
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				m.start()
			case 2:
				m.requestLoan()
			case 3, 4:
				m.deliver()
			case 5:
				m.advance()
			}
		}
		// No more faults happen, and every task and every loan ends.
		m.inFlight = nil
		m.now = m.now.Add(loanTerm + 2*maxTaskTime + 2*limit.ClockMargin)
		for _, r := range m.running {
			m.books[r.entry].End(team, r.id)
		}
		free := 0
		for _, b := range m.books {
			free += b.Free(team, m.now)
		}
		if free != m.limit {
			t.Fatalf("%d of %d units are usable after all tasks and loans ended", free, m.limit)
		}
	})
}

// TestLoweredLimitHoldsAtOnce guards against starts while more tasks run than a
// lowered limit allows.
func TestLoweredLimitHoldsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	b := limit.New(limit.Config{MaxTaskTime: maxTaskTime})
	b.SetOwnUnits(team, 3)
	for i := range 3 {
		g.Expect(b.Start(team, limit.AttemptID(i), now)).To(gomega.BeTrue())
	}
	b.SetOwnUnits(team, 1)
	g.Expect(b.Start(team, 9, now)).To(gomega.BeFalse())
	b.End(team, 0)
	b.End(team, 1)
	g.Expect(b.Start(team, 9, now)).To(gomega.BeFalse())
	b.End(team, 2)
	g.Expect(b.Start(team, 9, now)).To(gomega.BeTrue())
}

// TestSuspendedBorrowerStops guards against the use of borrowed units after their
// end by an entry whose VM was suspended.
func TestSuspendedBorrowerStops(t *testing.T) {
	g := gomega.NewWithT(t)
	// During the suspension only the wall clock advanced.
	start := time.Now()
	end := start.Add(loanTerm)
	g.Expect(limit.DeadlinePassed(end, start)).To(gomega.BeFalse())
	g.Expect(limit.DeadlinePassed(end, start.Round(0).Add(loanTerm))).To(gomega.BeTrue())
}

func BenchmarkStartEnd(b *testing.B) {
	book := limit.New(limit.Config{MaxTaskTime: maxTaskTime})
	book.SetOwnUnits(team, 10)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		book.Start(team, 1, now)
		book.End(team, 1)
	}
}

func ExampleBook() {
	b := limit.New(limit.Config{MaxTaskTime: 30 * time.Second})
	b.SetOwnUnits("festival", limit.Part(12, []string{"east", "west"}, "east", []int{0, 1, 2, 3}))
	now := time.Now()
	fmt.Println(b.Free("festival", now), b.Start("festival", 1, now), b.Free("festival", now))
	// Output: 4 true 3
}

// TestShorterTaskLeaseWaitsForOldTasks guards against a lower maximum task time that
// takes effect while a task sent under the greater one may still run.
func TestShorterTaskLeaseWaitsForOldTasks(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	b := limit.New(limit.Config{MaxTaskTime: time.Minute})
	b.SetMaxTaskTime(time.Second, now)
	g.Expect(b.MaxTaskTime()).To(gomega.Equal(time.Minute))
	b.SetMaxTaskTime(time.Second, now.Add(time.Minute))
	g.Expect(b.MaxTaskTime()).To(gomega.Equal(time.Minute))
	b.SetMaxTaskTime(time.Second, now.Add(time.Minute+limit.ClockMargin))
	g.Expect(b.MaxTaskTime()).To(gomega.Equal(time.Second))
	b.SetMaxTaskTime(time.Hour, now.Add(time.Minute+limit.ClockMargin))
	g.Expect(b.MaxTaskTime()).To(gomega.Equal(time.Hour))
}
