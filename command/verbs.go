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

// defaultTimeout bounds --wait unless --timeout is given.
const defaultTimeout = "18s"

// verb is one operators' command, such as "preset use NAME".
type verb struct {
	group string
	name  string
	help  string
	// args names the positional values.
	args []string
	// flags names the string flags with their help.
	flags map[string]string
	run   func(ctx context.Context, c *call) error
}

// call is one use of a verb.
type call struct {
	shell   *shell
	client  operator.Client
	args    []string
	flags   map[string]*string
	wait    time.Duration
	waiting bool
	output  string
}

// flag returns the value of a flag, or "".
func (c *call) flag(name string) string { return *c.flags[name] }

// used is a verb in the parser.
type used struct {
	sub *flaggy.Subcommand
	run runner
}

// addVerbs adds all verbs to the parser, in their groups.
func addVerbs(p *flaggy.Parser) []used {
	var out []used
	groups := make(map[string]*flaggy.Subcommand)
	for _, v := range verbs() {
		sub := flaggy.NewSubcommand(v.name)
		sub.Description = v.help
		out = append(out, used{sub: sub, run: addVerb(sub, v)})
		if v.group == "" {
			p.AttachSubcommand(sub, 1)
			continue
		}
		group := groups[v.group]
		if group == nil {
			group = flaggy.NewSubcommand(v.group)
			group.Description = "commands on a " + v.group
			groups[v.group] = group
			p.AttachSubcommand(group, 1)
		}
		group.AttachSubcommand(sub, 1)
	}
	return out
}

// addVerb adds a verb's values and flags and returns what runs it.
func addVerb(sub *flaggy.Subcommand, v verb) runner {
	c := &call{args: make([]string, len(v.args)), flags: make(map[string]*string), output: outputText}
	c.client.URL, c.client.Token = os.Getenv("ALMONDCOVE_URL"), os.Getenv("ALMONDCOVE_TOKEN")
	timeout := defaultTimeout
	for i, name := range v.args {
		sub.AddPositionalValue(&c.args[i], name, i+1, true, name)
	}
	for name, help := range v.flags {
		c.flags[name] = new(string)
		sub.String(c.flags[name], "", name, help)
	}
	sub.String(&c.client.URL, "", "url", "operators' URL of any entry; default ALMONDCOVE_URL")
	sub.String(&c.client.Token, "", "token", "operators' token; default ALMONDCOVE_TOKEN")
	sub.String(&c.output, "o", "output", "text or json")
	sub.Bool(&c.waiting, "w", "wait", "return when in force everywhere")
	sub.String(&timeout, "", "timeout", "bound of --wait")
	return func(ctx context.Context, sh *shell) error {
		c.shell = sh
		if err := c.settle(timeout); err != nil {
			return err
		}
		return v.run(ctx, c)
	}
}

// settle checks what all verbs have in common.
func (c *call) settle(timeout string) error {
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
	if c.waiting {
		c.wait = d
	}
	return nil
}

// change makes a change and prints its result.
func (c *call) change(ctx context.Context, method, path string, in any) error {
	result, err := c.client.Change(ctx, method, path, in, c.wait)
	if err != nil {
		return err
	}
	c.print(result, func() { printResult(c.shell, result) })
	if c.waiting && !result.Force.Everywhere() {
		return &pending{}
	}
	return nil
}

// pending reports a change that is recorded but not yet in force everywhere.
type pending struct{}

func (*pending) Error() string { return "command: recorded but not yet in force everywhere" }

// post returns the run of a verb whose change is one POST on its first value.
func post(before, after string) func(context.Context, *call) error {
	return func(ctx context.Context, c *call) error {
		return c.change(ctx, http.MethodPost, before+url.PathEscape(c.args[0])+after, nil)
	}
}

// remove returns the run of a verb whose change is one DELETE on its first value.
func remove(before string) func(context.Context, *call) error {
	return func(ctx context.Context, c *call) error {
		return c.change(ctx, http.MethodDelete, before+url.PathEscape(c.args[0]), nil)
	}
}

func verbs() []verb {
	return []verb{
		{group: "preset", name: "use", help: "put a preset in force", args: []string{"name"}, run: post("/presets/", "/use")},
		{group: "preset", name: "set", help: "create or change a preset", args: []string{"name"}, run: presetSet, flags: map[string]string{
			"targets": "VMs for each pool, such as tokens=4,spare=2",
			"shares":  "shares of teams while it is in force, such as festival=6",
			"hold":    "true or false: hold deferrable tasks back",
			"follow":  "true or false: lend spare VMs to pools with more work than slots",
		}},
		{group: "key", name: "grant", help: "grant a key to a team; its text is shown only once", args: []string{"team"}, run: func(ctx context.Context, c *call) error {
			return c.change(ctx, http.MethodPost, "/keys", map[string]string{"team": c.args[0]})
		}},
		{group: "key", name: "withdraw", help: "end a key for ever", args: []string{"id"}, run: remove("/keys/")},
		{group: "key", name: "list", help: "list the ids of all keys", run: keyList},
		{group: "team", name: "set", help: "create or change a team", args: []string{"name"}, run: teamSet, flags: map[string]string{
			"share": "weight when a pool is full",
			"limit": "most tasks at once over the whole fleet",
		}},
		{group: "queue", name: "set", help: "create or change a queue", args: []string{"name"}, run: queueSet, flags: map[string]string{
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
		{group: "pool", name: "set", help: "create or change a pool", args: []string{"name"}, run: poolSet, flags: map[string]string{
			"budget": "VMs that may be unavailable at once",
			"period": "time within which each VM is maintained once, such as 840h",
			"spare":  "true or false: the pool's VMs wait to be moved",
		}},
		{group: "pool", name: "maintain", help: "make every VM of a pool due for maintenance", args: []string{"name"}, run: post("/pools/", "/maintain")},
		{group: "vm", name: "move", help: "move a VM to another pool", args: []string{"vm", "pool"}, run: func(ctx context.Context, c *call) error {
			return c.change(ctx, http.MethodPost, "/vms/"+url.PathEscape(c.args[0])+"/move", map[string]string{"pool": c.args[1]})
		}},
		{group: "vm", name: "leave", help: "stop new tasks on a VM", args: []string{"vm"}, run: post("/vms/", "/leave")},
		{group: "vm", name: "return", help: "let a VM take tasks again", args: []string{"vm"}, run: post("/vms/", "/return")},
		{group: "centre", name: "out", help: "stop new tasks in a data centre", args: []string{"name"}, run: post("/centres/", "/out")},
		{group: "centre", name: "back", help: "let a data centre take tasks again", args: []string{"name"}, run: post("/centres/", "/back")},
		{group: "config", name: "load", help: "replace the configuration except its keys", args: []string{"file"}, run: configLoad},
		{group: "config", name: "show", help: "print the configuration without its keys", run: configShow},
		{group: "config", name: "restore", help: "write the held configuration into a platform that lost it", run: func(ctx context.Context, c *call) error {
			return c.change(ctx, http.MethodPost, "/config/restore", nil)
		}},
		{group: "entry", name: "remove", help: "declare an entry that can't be reached to have ended", args: []string{"name"}, run: entryRemove},
		{name: "status", help: "print what an entry knows", run: status},
		{name: "maintenance", help: "print how the maintenance of each pool goes", run: maintenance},
		{name: "timeline", help: "print the merged events of all entries", run: showTimeline, flags: map[string]string{
			"task": "only this task", "vm": "only this VM", "team": "only this team", "key": "only this key", "kind": "only this kind of event",
		}},
	}
}

func (c *call) document(ctx context.Context) (fleet.Document, error) {
	var doc fleet.Document
	err := c.client.Do(ctx, http.MethodGet, "/config", nil, nil, &doc)
	return doc, err
}

func teamSet(ctx context.Context, c *call) error {
	doc, err := c.document(ctx)
	if err != nil {
		return err
	}
	team := doc.Teams[c.args[0]]
	p := &flagParser{call: c}
	p.number("share", &team.Share)
	p.number("limit", &team.Limit)
	if p.err != nil {
		return p.err
	}
	return c.change(ctx, http.MethodPut, "/teams/"+url.PathEscape(c.args[0]), team)
}

func poolSet(ctx context.Context, c *call) error {
	doc, err := c.document(ctx)
	if err != nil {
		return err
	}
	pool := doc.Pools[c.args[0]]
	p := &flagParser{call: c}
	p.number("budget", &pool.Budget)
	p.duration("period", &pool.Period)
	p.boolean("spare", &pool.Spare)
	if p.err != nil {
		return p.err
	}
	return c.change(ctx, http.MethodPut, "/pools/"+url.PathEscape(c.args[0]), pool)
}

func queueSet(ctx context.Context, c *call) error {
	doc, err := c.document(ctx)
	if err != nil {
		return err
	}
	q, known := doc.Queues[c.args[0]]
	if !known {
		q = fleet.Queue{Class: fleet.Normal, Lease: fleet.Duration(10 * time.Second), Wait: fleet.Duration(30 * time.Second), Depth: 1000}
	}
	p := &flagParser{call: c}
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

func presetSet(ctx context.Context, c *call) error {
	doc, err := c.document(ctx)
	if err != nil {
		return err
	}
	preset := doc.Presets[c.args[0]]
	p := &flagParser{call: c}
	p.numbers("targets", &preset.Targets)
	p.numbers("shares", &preset.Shares)
	p.boolean("hold", &preset.HoldDeferrable)
	p.boolean("follow", &preset.FollowDemand)
	if p.err != nil {
		return p.err
	}
	return c.change(ctx, http.MethodPut, "/presets/"+url.PathEscape(c.args[0]), preset)
}

func configLoad(ctx context.Context, c *call) error {
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

func configShow(ctx context.Context, c *call) error {
	doc, err := c.document(ctx)
	if err != nil {
		return err
	}
	text, err := hujson.Format([]byte(jsonOf(doc)))
	if err != nil {
		return &Unreadable{File: "the configuration", Cause: err}
	}
	c.print(doc, func() { c.shell.printf("%s", text) })
	return nil
}

func keyList(ctx context.Context, c *call) error {
	var keys map[string]operator.KeyView
	if err := c.client.Do(ctx, http.MethodGet, "/keys", nil, nil, &keys); err != nil {
		return err
	}
	c.print(keys, func() {
		for _, id := range sorted(keys) {
			c.shell.printf("%-10s %-20s %s\n", id, keys[id].Team, lo.Ternary(keys[id].Gone, "withdrawn", "valid"))
		}
	})
	return nil
}

func entryRemove(ctx context.Context, c *call) error {
	var out struct {
		Removed string `json:"removed"`
	}
	err := c.client.Do(ctx, http.MethodDelete, "/entries/"+url.PathEscape(c.args[0]), nil, nil, &out)
	if err != nil {
		return err
	}
	c.print(out, func() { c.shell.printf("%s is taken as ended\n", out.Removed) })
	return nil
}

func status(ctx context.Context, c *call) error {
	var s entry.Status
	if err := c.client.Do(ctx, http.MethodGet, "/status", nil, nil, &s); err != nil {
		return err
	}
	c.print(s, func() { printStatus(c.shell, s) })
	return nil
}

func maintenance(ctx context.Context, c *call) error {
	var forecasts []roll.Forecast
	if err := c.client.Do(ctx, http.MethodGet, "/maintenance", nil, nil, &forecasts); err != nil {
		return err
	}
	c.print(forecasts, func() { printForecasts(c.shell, forecasts) })
	return nil
}

func showTimeline(ctx context.Context, c *call) error {
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
	c.print(t, func() { printTimeline(c.shell, t) })
	return nil
}

// flagParser reads the flags that were given and keeps the first error.
type flagParser struct {
	call *call
	err  error
}

func (p *flagParser) fail(name, expected string) {
	if p.err == nil {
		p.err = &usageError{text: "--" + name + " is " + expected}
	}
}

func (p *flagParser) text(name string, to *string) {
	if v := p.call.flag(name); v != "" {
		*to = v
	}
}

func (p *flagParser) list(name string, to *[]string) {
	if v := p.call.flag(name); v != "" {
		*to = strings.Split(v, ",")
	}
}

func (p *flagParser) number(name string, to *int) {
	v := p.call.flag(name)
	if v == "" {
		return
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		p.fail(name, "a whole number")
		return
	}
	*to = n
}

func (p *flagParser) boolean(name string, to *bool) {
	v := p.call.flag(name)
	if v == "" {
		return
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		p.fail(name, "true or false")
		return
	}
	*to = b
}

func (p *flagParser) duration(name string, to *fleet.Duration) {
	v := p.call.flag(name)
	if v != "" && to.UnmarshalText([]byte(v)) != nil {
		p.fail(name, "a duration such as 10s")
	}
}

// numbers reads a list such as tokens=4,spare=2.
func (p *flagParser) numbers(name string, to *map[string]int) {
	v := p.call.flag(name)
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
	*to = out
}
