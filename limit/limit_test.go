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
		// CI draws the same cases every run; a longer run by hand sets its own seed.
		_ = flag.Set("rapid.seed", "20261204")
		_ = flag.Set("rapid.checks", "5000")
	}
	os.Exit(m.Run())
}

func TestPartsAddUpAndAreMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{3}`), 1, 22, rapid.ID).Draw(t, "centres")
		total := rapid.IntRange(0, 5000).Draw(t, "limit")
		lower := rapid.IntRange(0, total).Draw(t, "lower")
		sum := 0
		for _, c := range centres {
			for seat := range limit.Seats {
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

// The times of the model.
const (
	term = 4 * time.Second
	run  = 10 * time.Second
	team = "t"
)

// message is a request on its way, or its answer.
type message struct {
	kind string
	from int
	to   int
	loan limit.Loan
	sent time.Time
}

// machine drives a few books through any order of events.
type machine struct {
	t     *rapid.T
	now   time.Time
	limit int
	books []*limit.Book
	seats [][]int
	// dead is when each entry crashed; zero while it runs.
	dead []time.Time
	// running holds the tasks that truly run, the oldest first.
	running []task
	wire    []message
	// past holds the limits that were lowered, until what ran or was lent under
	// them has ended.
	past []pastLimit
	next int
}

// pastLimit is a limit that may still show until a time.
type pastLimit struct {
	units int
	until time.Time
}

type task struct {
	id    limit.Task
	entry int
	// lapse is the end of the task's lease.
	lapse time.Time
}

func newMachine(t *rapid.T, entries, units int) *machine {
	m := &machine{t: t, now: time.Unix(1_000_000, 0), limit: units}
	for i := range entries {
		m.books = append(m.books, limit.New(limit.Config{Task: run}))
		m.dead = append(m.dead, time.Time{})
		m.seats = append(m.seats, nil)
		for seat := i; seat < limit.Seats; seat += entries {
			m.seats[i] = append(m.seats[i], seat)
		}
	}
	m.configure()
	return m
}

func (m *machine) configure() {
	for i, b := range m.books {
		b.SetOwn(team, limit.Part(m.limit, []string{"c"}, "c", m.seats[i]))
	}
}

func (m *machine) alive(label string) (int, bool) {
	i := rapid.IntRange(0, len(m.books)-1).Draw(m.t, label)
	return i, m.dead[i].IsZero()
}

func (m *machine) id() string {
	m.next++
	return fmt.Sprint(m.next)
}

func (m *machine) start() {
	i, ok := m.alive("entry")
	m.next++
	id := limit.Task(m.next)
	if ok && m.books[i].Start(team, id, m.now) {
		m.running = append(m.running, task{id: id, entry: i, lapse: m.now.Add(run)})
	}
}

// end ends a task; its entry may or may not learn of it.
func (m *machine) end() {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "ended")
	r := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	if rapid.Bool().Draw(m.t, "told") {
		m.books[r.entry].End(team, r.id)
	} else {
		m.books[r.entry].Lapse(team, r.id, r.lapse)
	}
}

func (m *machine) ask() {
	i, ok := m.alive("borrower")
	j := rapid.IntRange(0, len(m.books)-1).Draw(m.t, "lender")
	if ok && i != j {
		want := rapid.IntRange(1, 8).Draw(m.t, "want")
		m.wire = append(m.wire, message{kind: "ask", from: i, to: j, sent: m.now, loan: limit.Loan{ID: m.id(), Team: team, Units: want}})
	}
}

// renew asks again for every loan of one entry.
func (m *machine) renew() {
	i, ok := m.alive("renewer")
	if !ok {
		return
	}
	for _, l := range m.books[i].Due(team, m.now.Add(term), m.now) {
		var j int
		_, _ = fmt.Sscan(l.Peer, &j)
		m.wire = append(m.wire, message{kind: "ask", from: i, to: j, sent: m.now, loan: l})
	}
}

func (m *machine) giveBack() {
	i, ok := m.alive("returner")
	if !ok {
		return
	}
	loans := m.books[i].Return(team, rapid.IntRange(0, 8).Draw(m.t, "spare"), m.now)
	loans = append(loans, m.books[i].Owed(team, m.now)...)
	for _, l := range loans {
		var j int
		_, _ = fmt.Sscan(l.Peer, &j)
		m.wire = append(m.wire, message{kind: "return", from: i, to: j, loan: l})
	}
}

// deliver takes any message off the wire: delivered, doubled or lost. A request
// whose answer comes after the call's timeout is ignored by the asker.
func (m *machine) deliver() {
	if len(m.wire) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.wire)-1).Draw(m.t, "message")
	msg := m.wire[i]
	fate := rapid.SampledFrom([]string{"deliver", "deliver", "double", "lose"}).Draw(m.t, "fate")
	if fate != "double" {
		m.wire = append(m.wire[:i], m.wire[i+1:]...)
	}
	if fate == "lose" || !m.dead[msg.to].IsZero() {
		return
	}
	switch msg.kind {
	case "ask":
		loan := m.books[msg.to].Lend(msg.loan.ID, team, fmt.Sprint(msg.from), msg.loan.Units, term, m.now)
		if loan.Units > 0 {
			loan.Peer, loan.End = fmt.Sprint(msg.to), msg.sent.Add(term)
			m.wire = append(m.wire, message{kind: "grant", from: msg.to, to: msg.from, loan: loan, sent: msg.sent})
		}
	case "grant":
		if fate == "double" {
			// An answer belongs to one call and is read once.
			m.wire = append(m.wire[:i], m.wire[i+1:]...)
		}
		if m.now.Sub(msg.sent) <= time.Second {
			m.books[msg.to].Borrow(msg.loan, m.now)
		}
	case "return":
		m.books[msg.to].Restore(msg.loan.ID, team, msg.loan.Units)
	}
}

func (m *machine) crash() {
	i, ok := m.alive("crashed")
	if ok && rapid.IntRange(0, 9).Draw(m.t, "luck") == 0 {
		m.dead[i] = m.now
	}
}

// claim gives the seats of the dead to another entry, as soon as that is allowed.
func (m *machine) claim() {
	j, ok := m.alive("claimer")
	if !ok {
		return
	}
	for i, at := range m.dead {
		if !at.IsZero() && m.now.Sub(at) > term+run+2*limit.Margin {
			m.seats[j] = append(m.seats[j], m.seats[i]...)
			m.seats[i] = nil
		}
	}
	m.configure()
}

func (m *machine) pass() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "ms")) * time.Millisecond)
	m.running = slices.DeleteFunc(m.running, func(r task) bool {
		if m.now.Before(r.lapse) {
			return false
		}
		// The upstream stops the task at the end of its lease.
		m.books[r.entry].Lapse(team, r.id, r.lapse)
		return true
	})
}

// setLimit raises or lowers the limit. Nothing starts under the old one any more,
// but for borrowers of the units that are lent.
func (m *machine) setLimit() {
	m.past = append(m.past, pastLimit{m.limit, m.now.Add(term + run + limit.Margin)})
	m.limit = rapid.IntRange(0, 30).Draw(m.t, "new limit")
	m.configure()
}

func (m *machine) check() {
	highest := m.limit
	for _, p := range m.past {
		if m.now.Before(p.until) {
			highest = max(highest, p.units)
		}
	}
	if len(m.running) > highest {
		m.t.Fatalf("%d tasks run under a limit of %d", len(m.running), highest)
	}
}

func TestLimitHoldsThroughFaults(t *testing.T) {
	holdsThroughFaults(t, 11)
}

func TestLimitHoldsWhileItChanges(t *testing.T) {
	holdsThroughFaults(t, 12)
}

// holdsThroughFaults draws events up to the given one.
func holdsThroughFaults(t *testing.T, last int) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, rapid.IntRange(1, 4).Draw(t, "entries"), rapid.IntRange(0, 30).Draw(t, "limit"))
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, last).Draw(t, "event") {
			case 12:
				m.setLimit()
			case 0, 1, 2, 3:
				m.start()
			case 4:
				m.end()
			case 5:
				m.ask()
			case 6:
				m.renew()
			case 7:
				m.giveBack()
			case 8:
				m.deliver()
			case 9:
				m.crash()
			case 10:
				m.claim()
			case 11:
				m.pass()
			}
			m.check()
		}
	})
}

func TestEveryUnitBecomesUsableAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, 3, rapid.IntRange(1, 30).Draw(t, "limit"))
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				m.start()
			case 2:
				m.ask()
			case 3, 4:
				m.deliver()
			case 5:
				m.pass()
			}
		}
		// The faults end, and so does every task and every loan.
		m.wire = nil
		m.now = m.now.Add(term + 2*run + 2*limit.Margin)
		for _, r := range m.running {
			m.books[r.entry].End(team, r.id)
		}
		free := 0
		for _, b := range m.books {
			free += b.Free(team, m.now)
		}
		if free != m.limit {
			t.Fatalf("%d of %d units are usable", free, m.limit)
		}
	})
}

func TestLoweredLimitHoldsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	b := limit.New(limit.Config{Task: run})
	b.SetOwn(team, 3)
	for i := range 3 {
		g.Expect(b.Start(team, limit.Task(i), now)).To(gomega.BeTrue())
	}
	b.SetOwn(team, 1)
	g.Expect(b.Start(team, 9, now)).To(gomega.BeFalse())
	b.End(team, 0)
	b.End(team, 1)
	g.Expect(b.Start(team, 9, now)).To(gomega.BeFalse())
	b.End(team, 2)
	g.Expect(b.Start(team, 9, now)).To(gomega.BeTrue())
}

func TestSuspendedBorrowerStops(t *testing.T) {
	g := gomega.NewWithT(t)
	// Only the wall clock ran on while the VM was suspended.
	start := time.Now()
	end := start.Add(term)
	g.Expect(limit.Passed(end, start)).To(gomega.BeFalse())
	g.Expect(limit.Passed(end, start.Round(0).Add(term))).To(gomega.BeTrue())
}

func BenchmarkStartEnd(b *testing.B) {
	book := limit.New(limit.Config{Task: run})
	book.SetOwn(team, 10)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		book.Start(team, 1, now)
		book.End(team, 1)
	}
}

func ExampleBook() {
	b := limit.New(limit.Config{Task: 30 * time.Second})
	b.SetOwn("festival", limit.Part(12, []string{"east", "west"}, "east", []int{0, 1, 2, 3}))
	now := time.Now()
	fmt.Println(b.Free("festival", now), b.Start("festival", 1, now), b.Free("festival", now))
	// Output: 4 true 3
}

func TestShorterTaskLeaseWaitsForOldTasks(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	b := limit.New(limit.Config{Task: time.Minute})
	b.SetTask(time.Second, now)
	g.Expect(b.Task()).To(gomega.Equal(time.Minute))
	b.SetTask(time.Second, now.Add(time.Minute))
	g.Expect(b.Task()).To(gomega.Equal(time.Minute))
	b.SetTask(time.Second, now.Add(time.Minute+limit.Margin))
	g.Expect(b.Task()).To(gomega.Equal(time.Second))
	b.SetTask(time.Hour, now.Add(time.Minute+limit.Margin))
	g.Expect(b.Task()).To(gomega.Equal(time.Hour))
}
