package command

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"almondcove/entry"
	"almondcove/operator"
	"almondcove/roll"
	"almondcove/timeline"
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

func checkOutput(output string) error {
	if output != outputText && output != outputJSON {
		return &usageError{text: "--output is text or json"}
	}
	return nil
}

// print prints v as JSON, or calls printText if the output format is text.
func (c *invocation) print(v any, printText func()) {
	if c.output == outputJSON {
		c.console.printf("%s\n", encodeJSON(v))
		return
	}
	printText()
}

func encodeJSON(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		// All printed values were decoded from JSON or hold plain types, which always
		// encode.
		panic(err)
	}
	return string(text)
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func printResult(con *console, r operator.Result) {
	if r.Key != "" {
		con.printf("key %s\nid %s\n", r.Key, r.ID)
	}
	switch {
	case !r.ChangeResult.Recorded:
		con.printf("not recorded yet: the platform does not answer, and the record follows when it does\n")
	case r.Changed:
		con.printf("recorded as revision %d\n", r.Rev)
	default:
		con.printf("no change: so already in revision %d\n", r.Rev)
	}
	con.printf("in force on %d of %d entries", r.Force.On, r.Force.Of)
	if len(r.Force.Missing) > 0 {
		con.printf(", missing: %s", strings.Join(r.Force.Missing, ", "))
	}
	con.printf("\n")
}

func printStatus(con *console, s entry.Status) {
	con.printf("entry %s in %s, leader %s, revision %d, preset %s, seats %d\n", s.Entry, s.Centre, orNone(s.Leader), s.Rev, s.Preset, len(s.Seats))
	for _, r := range s.Pending {
		con.printf("not recorded yet: %s %s\n", r.Kind, r.Name)
	}
	w := tabwriter.NewWriter(con.out, 0, 0, 2, ' ', 0)
	tab := &console{out: w}
	tab.printf("\nCENTRE\tSTATE\n")
	for _, name := range sortedKeys(s.Centres) {
		tab.printf("%s\t%s\n", name, s.Centres[name])
	}
	tab.printf("\nENTRY\tCENTRE\tSTATE\tREV\tSEATS\n")
	for _, e := range s.Entries {
		tab.printf("%s\t%s\t%s\t%d\t%d\n", e.Name, e.Centre, e.State, e.Rev, len(e.Seats))
	}
	tab.printf("\nTEAM\tSHARE\tLIMIT\tUSABLE HERE\tRUNNING HERE\n")
	for _, name := range sortedKeys(s.Teams) {
		t := s.Teams[name]
		tab.printf("%s\t%d\t%d\t%d\t%d\n", name, t.Share, t.Limit, t.Usable, t.Running)
	}
	tab.printf("\nVM\tCENTRE\tPOOL\tSTATE\tTAKES TASKS\tRUNNING HERE\n")
	for _, name := range sortedKeys(s.VMs) {
		v := s.VMs[name]
		pool := v.Pool
		if v.To != "" {
			pool += " to " + v.To
		}
		tab.printf("%s\t%s\t%s\t%s\t%t\t%d\n", name, v.Centre, pool, v.State, v.Serves && !v.Aside, v.Running)
	}
	// As in printf, a failed write means that the reader has closed the pipe.
	_ = w.Flush()
}

func printForecasts(con *console, forecasts []roll.Forecast) {
	w := tabwriter.NewWriter(con.out, 0, 0, 2, ' ', 0)
	tab := &console{out: w}
	tab.printf("POOL\tVMS\tDUE\tOUT\tDOWN\tLATE\tNEXT DUE\tPERIOD MET\n")
	for _, f := range forecasts {
		next := "now"
		if f.Due == 0 {
			next = f.NextDue.UTC().Format(time.DateTime)
		}
		met := "yes"
		if !f.PeriodMet {
			met = "no: " + f.Obstacle
		}
		tab.printf("%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", f.Pool, f.VMs, f.Due, f.InMaintenance, f.Down, f.Overdue, next, met)
	}
	// As in printf, a failed write means that the reader has closed the pipe.
	_ = w.Flush()
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func printTimeline(con *console, t operator.Timeline) {
	for _, e := range t.Events {
		con.printf("%s  %-8s  %-10s%s\n", e.Time.UTC().Format(time.RFC3339Nano), e.Source, e.Kind, eventDetails(e))
	}
	if len(t.Missing) > 0 {
		con.printf("no answer from: %s\n", strings.Join(t.Missing, ", "))
	}
}

// eventDetails returns the optional members of an event as key=value pairs, and the
// note.
func eventDetails(e timeline.Event) string {
	var out strings.Builder
	for _, pair := range [][2]string{{"task", e.Task}, {"vm", e.VM}, {"team", e.Team}, {"key", e.Key}} {
		if pair[1] != "" {
			out.WriteString("  " + pair[0] + "=" + pair[1])
		}
	}
	if e.Note != "" {
		out.WriteString("  " + e.Note)
	}
	return out.String()
}
