// Package settings reads the settings of the processes: JSON with comments.
//
// Every fault is reported at once, with its line and what was expected there.
// Members that are not known are faults.
//
// # Usage
//
//	s, err := settings.ReadEntry(data)
//	if faults, ok := errors.Into[*settings.Faults](err); ok {
//		for _, f := range faults.List {
//			fmt.Println(f)
//		}
//	}
package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"almondcove/fleet"
)

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	// Line counts from 1.
	Line int `json:"line"`
	// Member is the path of the member, for example "upstreams[2].slots".
	Member string `json:"member,omitempty"`
	// Expected says what should stand there.
	Expected string `json:"expected"`
}

func (f Fault) String() string {
	text := "line " + strconv.Itoa(f.Line) + ": "
	if f.Member != "" {
		text += f.Member + ": "
	}
	return text + "expected " + f.Expected
}

// Faults reports everything that is wrong with a settings file.
type Faults struct {
	List []Fault
}

func (e *Faults) Error() string {
	lines := make([]string, 0, len(e.List))
	for _, f := range e.List {
		lines = append(lines, f.String())
	}
	return "settings: " + strings.Join(lines, "; ")
}

// reader decodes one file and collects its faults.
type reader struct {
	data   []byte
	faults []Fault
	// lines maps the path of each member to its line.
	lines map[string]int
}

// decode reads data into target, a pointer to a struct.
func decode(data []byte, target any) *reader {
	r := &reader{data: data, lines: map[string]int{"": 1}}
	root, err := hujson.Parse(data)
	if err != nil {
		r.syntax(err)
		return r
	}
	r.value(root, reflect.ValueOf(target).Elem(), "")
	return r
}

// syntax reports text that is not JSON with comments. The parser names the line.
func (r *reader) syntax(err error) {
	line := 1
	text := err.Error()
	if _, rest, ok := strings.Cut(text, "line "); ok {
		digits, _, _ := strings.Cut(rest, ",")
		if n, err := strconv.Atoi(digits); err == nil {
			line = n
		}
	}
	r.faults = append(r.faults, Fault{Line: line, Expected: "JSON with comments (" + text + ")"})
}

func (r *reader) lineAt(offset int) int {
	return 1 + bytes.Count(r.data[:min(offset, len(r.data))], []byte("\n"))
}

// fault reports what a member should hold. Only the first fault of each member
// is reported.
func (r *reader) fault(path, expected string) {
	if slices.ContainsFunc(r.faults, func(f Fault) bool { return f.Member == path && path != "" }) {
		return
	}
	r.faults = append(r.faults, Fault{Line: r.lineOf(path), Member: path, Expected: expected})
}

// lineOf returns the line of a member, or of the nearest one around it.
func (r *reader) lineOf(path string) int {
	for {
		if line, ok := r.lines[path]; ok {
			return line
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return r.lines[""]
		}
		path = path[:i]
	}
}

// require reports a fault unless ok.
func (r *reader) require(ok bool, path, expected string) {
	if !ok {
		r.fault(path, expected)
	}
}

// err returns the faults in the order of their lines, or nil.
func (r *reader) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return &Faults{List: r.faults}
}

func (r *reader) value(v hujson.Value, target reflect.Value, path string) {
	r.lines[path] = r.lineAt(v.StartOffset)
	switch {
	case target.Kind() == reflect.Struct && !isText(target):
		r.object(v, target, path)
	case target.Kind() == reflect.Slice:
		r.array(v, target, path)
	case target.Kind() == reflect.Map:
		r.table(v, target, path)
	default:
		r.leaf(v, target, path)
	}
}

// isText reports whether the value reads itself from text.
func isText(target reflect.Value) bool {
	_, ok := target.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	return ok
}

func (r *reader) object(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.fault(path, "an object")
		return
	}
	fields := fieldsOf(target)
	seen := make(map[string]bool)
	for _, m := range object.Members {
		name := nameOf(m)
		at := join(path, name)
		r.lines[at] = r.lineAt(m.Name.StartOffset)
		field, known := fields[name]
		switch {
		case !known:
			r.fault(at, "one of the members "+strings.Join(sortedNames(fields), ", "))
		case seen[name]:
			r.fault(at, "each member once")
		default:
			seen[name] = true
			r.value(m.Value, field, at)
		}
	}
}

func (r *reader) array(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		r.fault(path, "a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, e := range array.Elements {
		r.value(e, target.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

func (r *reader) table(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.fault(path, "an object")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for _, m := range object.Members {
		name := nameOf(m)
		item := reflect.New(target.Type().Elem()).Elem()
		r.value(m.Value, item, join(path, name))
		target.SetMapIndex(reflect.ValueOf(name), item)
	}
}

func (r *reader) leaf(v hujson.Value, target reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if ok && json.Unmarshal(literal, target.Addr().Interface()) == nil {
		return
	}
	r.fault(path, kindOf(target))
}

// kindOf says in words what a leaf may hold.
func kindOf(target reflect.Value) string {
	switch target.Type().String() {
	case "netip.AddrPort":
		return `an address with a port, such as "127.0.0.1:8080"`
	case "fleet.Duration":
		return `a duration, such as "1.5s"`
	}
	switch target.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	}
	return "a " + target.Kind().String()
}

func fieldsOf(target reflect.Value) map[string]reflect.Value {
	out := make(map[string]reflect.Value)
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = target.Field(i)
		}
	}
	return out
}

func sortedNames(fields map[string]reflect.Value) []string {
	out := make([]string, 0, len(fields))
	for name := range fields {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func nameOf(m hujson.ObjectMember) string {
	literal, _ := m.Name.Value.(hujson.Literal)
	return literal.String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// ReadDocument reads a fleet configuration and checks it. The error is *Faults
// or *fleet.InvalidError.
func ReadDocument(data []byte) (fleet.Document, error) {
	var d fleet.Document
	r := decode(data, &d)
	if err := r.err(); err != nil {
		return d, err
	}
	err := d.Config().Check()
	invalid, ok := errors.Into[*fleet.InvalidError](err)
	if !ok {
		return d, err
	}
	for _, reason := range invalid.Reasons {
		r.faults = append(r.faults, Fault{Line: r.lineOf(documentPath(reason.Path)), Member: reason.Path, Expected: reason.Expected})
	}
	return d, r.err()
}

// documentPath turns the path of a check into the path in the document.
func documentPath(path string) string {
	kind, rest, ok := strings.Cut(path, "/")
	if !ok {
		return path
	}
	return kind + "s." + rest
}
