package command

import (
	"context"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/samber/lo"
	"github.com/tailscale/hujson"

	"almondcove/entry"
	"almondcove/fleet"
	"almondcove/operator"
	"almondcove/roll"
	"almondcove/settings"
)

// defaultTimeout is the time limit of --wait unless --timeout is given.
const defaultTimeout = "18s"

// operatorCommand is one operators' command, such as "preset use NAME".
type operatorCommand struct {
	// group is the parent subcommand; empty for a command without one.
	group string
	name  string
	help  string
	// args lists the names of the positional values.
	args []string
	// flags maps the names of the string flags to their help.
	flags map[string]string
	run   func(ctx context.Context, c *invocation) error
}

// invocation holds the parsed values and flags of an operators' command.
type invocation struct {
	console *console
	client  operator.Client
	args    []string
	flags   map[string]*string
	// waitTimeout is the value of --timeout, or zero without --wait.
	waitTimeout time.Duration
	// waitUntilInForce is the value of --wait.
	waitUntilInForce bool
	// output is the value of --output.
	output string
}

// flag returns the value of a flag, or "".
func (c *invocation) flag(name string) string { return *c.flags[name] }

// registeredCommand is an operators' command that has been added to the parser.
type registeredCommand struct {
	sub *flaggy.Subcommand
	run runner
}

// addOperatorCommands adds all operators' commands to the parser, in their groups.
func addOperatorCommands(p *flaggy.Parser) []registeredCommand {
	var out []registeredCommand
	groups := make(map[string]*flaggy.Subcommand)
	for _, cmd := range operatorCommands() {
		sub := flaggy.NewSubcommand(cmd.name)
		sub.Description = cmd.help
		out = append(out, registeredCommand{sub: sub, run: addOperatorCommand(sub, cmd)})
		if cmd.group == "" {
			p.AttachSubcommand(sub, 1)
			continue
		}
		group := groups[cmd.group]
		if group == nil {
			group = flaggy.NewSubcommand(cmd.group)
			group.Description = "commands on a " + cmd.group
			groups[cmd.group] = group
			p.AttachSubcommand(group, 1)
		}
		group.AttachSubcommand(sub, 1)
	}
	return out
}

// addOperatorCommand adds the values and flags of cmd to sub and returns its runner.
func addOperatorCommand(sub *flaggy.Subcommand, cmd operatorCommand) runner {
	c := &invocation{args: make([]string, len(cmd.args)), flags: make(map[string]*string), output: outputText}
	c.client.URL, c.client.Token = os.Getenv("ALMONDCOVE_URL"), os.Getenv("ALMONDCOVE_TOKEN")
	timeout := defaultTimeout
	for i, name := range cmd.args {
		sub.AddPositionalValue(&c.args[i], name, i+1, true, name)
	}
	for name, help := range cmd.flags {
		c.flags[name] = new(string)
		sub.String(c.flags[name], "", name, help)
	}
	sub.String(&c.client.URL, "", "url", "operators' URL of any entry; default ALMONDCOVE_URL")
	sub.String(&c.client.Token, "", "token", "operators' token; default ALMONDCOVE_TOKEN")
	sub.String(&c.output, "o", "output", "text or json")
	sub.Bool(&c.waitUntilInForce, "w", "wait", "return when in force everywhere")
	sub.String(&timeout, "", "timeout", "bound of --wait")
	return func(ctx context.Context, con *console) error {
		c.console = con
		if err := c.applyCommonFlags(timeout); err != nil {
			return err
		}
		return cmd.run(ctx, c)
	}
}

// applyCommonFlags checks the flags that all operators' commands have in common and
// sets the client's URL and waitTimeout.
func (c *invocation) applyCommonFlags(timeout string) error {
	if c.client.URL == "" || c.client.Token == "" {
		return &usageError{text: "give --url and --token, or set ALMONDCOVE_URL and ALMONDCOVE_TOKEN"}
	}
	c.client.URL = strings.TrimSuffix(c.client.URL, "/")
	if err := checkOutput(c.output); err != nil {
		return err
	}
	d, err := time.ParseDuration(timeout)
	if err != nil || d <= 0 {
		return &usageError{text: "--timeout is a duration such as 18s"}
	}
	if c.waitUntilInForce {
		c.waitTimeout = d
	}
	return nil
}

// change requests a change and prints the result.
func (c *invocation) change(ctx context.Context, method, path string, in any) error {
	result, err := c.client.Change(ctx, method, path, in, c.waitTimeout)
	if err != nil {
		return err
	}
	c.print(result, func() { printResult(c.console, result) })
	if c.waitUntilInForce && !result.Force.Everywhere() {
		return &pendingError{}
	}
	return nil
}

// pendingError reports a change that is recorded but not yet in force everywhere.
type pendingError struct{}

func (*pendingError) Error() string { return "command: recorded but not yet in force everywhere" }

// sendPost returns the run function of a command that sends a POST to the path made
// of prefix, the first positional value and suffix.
func sendPost(prefix, suffix string) func(context.Context, *invocation) error {
	return func(ctx context.Context, c *invocation) error {
		return c.change(ctx, http.MethodPost, prefix+url.PathEscape(c.args[0])+suffix, nil)
	}
}

// sendDelete returns the run function of a command that sends a DELETE to the path
// made of prefix and the first positional value.
func sendDelete(prefix string) func(context.Context, *invocation) error {
	return func(ctx context.Context, c *invocation) error {
		return c.change(ctx, http.MethodDelete, prefix+url.PathEscape(c.args[0]), nil)
	}
}

func operatorCommands() []operatorCommand {
	return []operatorCommand{
		{group: "preset", name: "use", help: "put a preset in force", args: []string{"name"}, run: sendPost("/presets/", "/use")},
		{group: "preset", name: "set", help: "create or change a preset", args: []string{"name"}, run: setPreset, flags: map[string]string{
			"targets": "VMs for each pool, such as tokens=4,spare=2",
			"shares":  "shares of teams while it is in force, such as festival=6",
			"hold":    "true or false: hold deferrable tasks back",
			"follow":  "true or false: lend spare VMs to pools with more work than slots",
		}},
		{group: "key", name: "grant", help: "grant a key to a team; its text is shown only once", args: []string{"team"}, run: func(ctx context.Context, c *invocation) error {
			return c.change(ctx, http.MethodPost, "/keys", map[string]string{"team": c.args[0]})
		}},
		{group: "key", name: "withdraw", help: "end a key for ever", args: []string{"id"}, run: sendDelete("/keys/")},
		{group: "key", name: "list", help: "list the ids of all keys", run: listKeys},
		{group: "team", name: "set", help: "create or change a team", args: []string{"name"}, run: setTeam, flags: map[string]string{
			"share": "weight when a pool is full",
			"limit": "most tasks at once over the whole fleet",
		}},
		{group: "queue", name: "set", help: "create or change a queue", args: []string{"name"}, run: setQueue, flags: map[string]string{
			"pool":       "the pool that runs its tasks",
			"class":      "urgent, normal or deferrable",
			"teams":      "the teams that may submit, such as till,festival",
			"open":       "true or false: callers need no key",
			"owner":      "the team for which keyless tasks count",
			"idempotent": "true or false: tasks may be run again on another VM",
			"lease":      "longest run time, such as 10s",
			"start":      "longest wait until the start, such as 30s",
			"depth":      "tasks that may wait at one entry",
		}},
		{group: "pool", name: "set", help: "create or change a pool", args: []string{"name"}, run: setPool, flags: map[string]string{
			"budget": "VMs that may be unavailable at once",
			"period": "time within which each VM is maintained once, such as 840h",
			"spare":  "true or false: the pool's VMs wait to be moved",
		}},
		{group: "pool", name: "maintain", help: "make every VM of a pool due for maintenance", args: []string{"name"}, run: sendPost("/pools/", "/maintain")},
		{group: "vm", name: "move", help: "move a VM to another pool", args: []string{"vm", "pool"}, run: func(ctx context.Context, c *invocation) error {
			return c.change(ctx, http.MethodPost, "/vms/"+url.PathEscape(c.args[0])+"/move", map[string]string{"pool": c.args[1]})
		}},
		{group: "vm", name: "leave", help: "stop new tasks on a VM", args: []string{"vm"}, run: sendPost("/vms/", "/leave")},
		{group: "vm", name: "return", help: "let a VM take tasks again", args: []string{"vm"}, run: sendPost("/vms/", "/return")},
		{group: "centre", name: "out", help: "stop new tasks in a data centre", args: []string{"name"}, run: sendPost("/centres/", "/out")},
		{group: "centre", name: "back", help: "let a data centre take tasks again", args: []string{"name"}, run: sendPost("/centres/", "/back")},
		{group: "config", name: "load", help: "replace the configuration except its keys", args: []string{"file"}, run: loadConfig},
		{group: "config", name: "show", help: "print the configuration without its keys", run: showConfig},
		{group: "config", name: "restore", help: "write the held configuration into a platform that lost it", run: func(ctx context.Context, c *invocation) error {
			return c.change(ctx, http.MethodPost, "/config/restore", nil)
		}},
		{group: "entry", name: "remove", help: "declare an entry that can't be reached to have ended", args: []string{"name"}, run: removeEntry},
		{name: "status", help: "print what an entry knows", run: showStatus},
		explainCommand(),
		{name: "maintenance", help: "print how the maintenance of each pool goes", run: showMaintenance},
		{name: "timeline", help: "print the merged events of all entries", run: showTimeline, flags: map[string]string{
			"task": "only this task", "vm": "only this VM", "team": "only this team", "key": "only this key", "kind": "only this kind of event",
		}},
	}
}

func (c *invocation) fetchDocument(ctx context.Context) (fleet.Document, error) {
	var doc fleet.Document
	err := c.client.Do(ctx, http.MethodGet, "/config", nil, nil, &doc)
	return doc, err
}

// setTeam creates or changes a team. A PUT replaces the whole team, so setTeam fetches
// the present one first to keep the values of the flags that are not given. setPool,
// setQueue and setPreset do the same.
func setTeam(ctx context.Context, c *invocation) error {
	doc, err := c.fetchDocument(ctx)
	if err != nil {
		return err
	}
	team := doc.Teams[c.args[0]]
	p := &flagParser{invocation: c}
	p.number("share", &team.Share)
	p.number("limit", &team.Limit)
	if p.err != nil {
		return p.err
	}
	return c.change(ctx, http.MethodPut, "/teams/"+url.PathEscape(c.args[0]), team)
}

func setPool(ctx context.Context, c *invocation) error {
	doc, err := c.fetchDocument(ctx)
	if err != nil {
		return err
	}
	pool := doc.Pools[c.args[0]]
	p := &flagParser{invocation: c}
	p.number("budget", &pool.Budget)
	p.duration("period", &pool.Period)
	p.boolean("spare", &pool.Spare)
	if p.err != nil {
		return p.err
	}
	return c.change(ctx, http.MethodPut, "/pools/"+url.PathEscape(c.args[0]), pool)
}

func setQueue(ctx context.Context, c *invocation) error {
	doc, err := c.fetchDocument(ctx)
	if err != nil {
		return err
	}
	q, known := doc.Queues[c.args[0]]
	if !known {
		// The defaults of a new queue.
		q = fleet.Queue{Class: fleet.Normal, Lease: fleet.Duration(10 * time.Second), Wait: fleet.Duration(30 * time.Second), Depth: 1000}
	}
	p := &flagParser{invocation: c}
	p.text("pool", &q.Pool)
	p.text("class", (*string)(&q.Class))
	p.list("teams", &q.Teams)
	p.boolean("open", &q.Open)
	p.text("owner", &q.Owner)
	p.boolean("idempotent", &q.Idempotent)
	p.duration("lease", &q.Lease)
	p.duration("start", &q.Wait)
	p.number("depth", &q.Depth)
	if p.err != nil {
		return p.err
	}
	return c.change(ctx, http.MethodPut, "/queues/"+url.PathEscape(c.args[0]), q)
}

func setPreset(ctx context.Context, c *invocation) error {
	doc, err := c.fetchDocument(ctx)
	if err != nil {
		return err
	}
	preset := doc.Presets[c.args[0]]
	p := &flagParser{invocation: c}
	p.numberMap("targets", &preset.Targets)
	p.numberMap("shares", &preset.Shares)
	p.boolean("hold", &preset.HoldDeferrable)
	p.boolean("follow", &preset.FollowDemand)
	if p.err != nil {
		return p.err
	}
	return c.change(ctx, http.MethodPut, "/presets/"+url.PathEscape(c.args[0]), preset)
}

func loadConfig(ctx context.Context, c *invocation) error {
	data, err := readFile(c.args[0])
	if err != nil {
		return err
	}
	doc, err := settings.ReadDocument(data)
	if err != nil {
		return err
	}
	return c.change(ctx, http.MethodPut, "/config", doc)
}

func showConfig(ctx context.Context, c *invocation) error {
	doc, err := c.fetchDocument(ctx)
	if err != nil {
		return err
	}
	text, err := hujson.Format([]byte(encodeJSON(doc)))
	if err != nil {
		return &ReadError{File: "the configuration", Cause: err}
	}
	c.print(doc, func() { c.console.printf("%s", text) })
	return nil
}

func listKeys(ctx context.Context, c *invocation) error {
	var keys map[string]operator.KeyView
	if err := c.client.Do(ctx, http.MethodGet, "/keys", nil, nil, &keys); err != nil {
		return err
	}
	c.print(keys, func() {
		for _, id := range sortedKeys(keys) {
			c.console.printf("%-10s %-20s %s\n", id, keys[id].Team, lo.Ternary(keys[id].Gone, "withdrawn", "valid"))
		}
	})
	return nil
}

func removeEntry(ctx context.Context, c *invocation) error {
	var out struct {
		Removed string `json:"removed"`
	}
	err := c.client.Do(ctx, http.MethodDelete, "/entries/"+url.PathEscape(c.args[0]), nil, nil, &out)
	if err != nil {
		return err
	}
	c.print(out, func() { c.console.printf("%s is taken as ended\n", out.Removed) })
	return nil
}

func showStatus(ctx context.Context, c *invocation) error {
	var s entry.Status
	if err := c.client.Do(ctx, http.MethodGet, "/status", nil, nil, &s); err != nil {
		return err
	}
	c.print(s, func() { printStatus(c.console, s) })
	return nil
}

func showMaintenance(ctx context.Context, c *invocation) error {
	var forecasts []roll.Forecast
	if err := c.client.Do(ctx, http.MethodGet, "/maintenance", nil, nil, &forecasts); err != nil {
		return err
	}
	c.print(forecasts, func() { printForecasts(c.console, forecasts) })
	return nil
}

func showTimeline(ctx context.Context, c *invocation) error {
	query := url.Values{}
	for name, value := range c.flags {
		if *value != "" {
			query.Set(name, *value)
		}
	}
	var t operator.Timeline
	if err := c.client.Do(ctx, http.MethodGet, "/timeline", query, nil, &t); err != nil {
		return err
	}
	c.print(t, func() { printTimeline(c.console, t) })
	return nil
}

// flagParser copies the flags that were given into the fields of a request and keeps
// the first error.
type flagParser struct {
	invocation *invocation
	err        error
}

func (p *flagParser) fail(name, expected string) {
	if p.err == nil {
		p.err = &usageError{text: "--" + name + " is " + expected}
	}
}

func (p *flagParser) text(name string, dst *string) {
	if v := p.invocation.flag(name); v != "" {
		*dst = v
	}
}

func (p *flagParser) list(name string, dst *[]string) {
	if v := p.invocation.flag(name); v != "" {
		*dst = strings.Split(v, ",")
	}
}

func (p *flagParser) number(name string, dst *int) {
	v := p.invocation.flag(name)
	if v == "" {
		return
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		p.fail(name, "a whole number")
		return
	}
	*dst = n
}

func (p *flagParser) boolean(name string, dst *bool) {
	v := p.invocation.flag(name)
	if v == "" {
		return
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		p.fail(name, "true or false")
		return
	}
	*dst = b
}

func (p *flagParser) duration(name string, dst *fleet.Duration) {
	v := p.invocation.flag(name)
	if v != "" && dst.UnmarshalText([]byte(v)) != nil {
		p.fail(name, "a duration such as 10s")
	}
}

// numberMap parses a list of names with numbers, such as tokens=4,spare=2.
func (p *flagParser) numberMap(name string, dst *map[string]int) {
	v := p.invocation.flag(name)
	if v == "" {
		return
	}
	out := make(map[string]int)
	for part := range strings.SplitSeq(v, ",") {
		key, number, ok := strings.Cut(part, "=")
		n, err := strconv.Atoi(number)
		if !ok || err != nil {
			p.fail(name, "a list such as tokens=4,spare=2")
			return
		}
		out[key] = n
	}
	*dst = out
}
