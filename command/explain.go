package command

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"

	"github.com/tailscale/hujson"

	"almondcove/job"
	"almondcove/schedule"
)

// explainCommand returns the command that says what would become of a job, or what becomes of an
// accepted one.
func explainCommand() operatorCommand {
	return operatorCommand{name: "explain", help: "say where a job would go now, or what an accepted one waits for, and why", run: explain, flags: map[string]string{
		"job":    "the id of an accepted job; no other flag is needed",
		"file":   "a file with the steps of the job, as JSON",
		"queue":  "the job's queue",
		"team":   "the job's team",
		"count":  "tasks of the only step, without --file",
		"cpu":    "what each of them needs, in thousandths of a core",
		"memory": "what each of them needs, in MB",
		"label":  "the label that their VMs must have",
		"rack":   "the rack that holds their data",
	}}
}

// explainID is the id of a job that is not handed in.
const explainID = "explain"

func explain(ctx context.Context, c *invocation) error {
	j, err := c.explainedJob()
	if err != nil {
		return err
	}
	var e schedule.Explanation
	if err := c.client.Do(ctx, http.MethodPost, "/explain", nil, j, &e); err != nil {
		return err
	}
	c.print(e, func() { printExplanation(c.console, e) })
	return nil
}

// explainedJob returns the job that the flags describe.
func (c *invocation) explainedJob() (*job.Job, error) {
	if id := c.flag("job"); id != "" {
		return &job.Job{ID: job.ID(id)}, nil
	}
	if c.flag("queue") == "" {
		return nil, &usageError{text: "give --job, or --queue and the steps"}
	}
	j := &job.Job{ID: explainID, Queue: c.flag("queue"), Team: c.flag("team"), Spec: explainID}
	if file := c.flag("file"); file != "" {
		return j, readSteps(file, &j.Steps)
	}
	step := job.Step{Count: 1, Label: c.flag("label"), PreferredRack: c.flag("rack")}
	p := &flagParser{invocation: c}
	p.number("count", &step.Count)
	cpu, memory := 0, 0
	p.number("cpu", &cpu)
	p.number("memory", &memory)
	step.Need = job.Resources{CPU: int64(cpu), Memory: int64(memory)}
	j.Steps = []job.Step{step}
	return j, p.err
}

// readSteps reads the steps of a job from a file.
func readSteps(file string, out *[]job.Step) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &usageError{text: err.Error()}
	}
	if data, err = hujson.Standardize(data); err == nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		return &usageError{text: file + ": " + err.Error()}
	}
	return nil
}

func printExplanation(con *console, e schedule.Explanation) {
	switch {
	case e.Phase != "":
		con.printf("accepted, %s\n", e.Phase)
	case e.Admitted:
		con.printf("would be accepted\n")
	default:
		con.printf("would be refused: %s; retry after %v\n", e.Refusal, e.RetryAfter)
	}
	for _, s := range e.Steps {
		con.printf("\nstep %d of occurrence %d in pool %s: %d waiting, rank %s, %d tasks before it\n", s.Step, s.Occurrence, e.Pool, s.Waiting, s.Rank, s.Ahead)
		con.printf("next: %s %s\n", s.Decision, strings.Join(s.VMs, ", "))
		if s.Wait != "" {
			con.printf("wait for a near place: %s, expected in %v, loss elsewhere %v\n", s.Wait, s.Expected, s.Loss)
		}
		for _, best := range s.Best {
			con.printf("cost %.2f on %s\n", best.Cost, best.VM)
		}
		for _, reason := range sortedKeys(s.Reasons) {
			con.printf("%d VMs: %s\n", s.Reasons[reason], reason)
		}
	}
}
