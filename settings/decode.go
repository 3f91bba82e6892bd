// Package settings reads and checks settings files and fleet configurations in
// JSON with comments.
//
// An error lists all faults of a file, each with its line and what was expected
// there. Unknown members are faults.
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

// Fault is one invalid member or syntax error of a settings file.
type Fault struct {
	// Line is the line number, counted from 1.
	Line int `json:"line"`
	// Member is the path of the member, for example "upstreams[2].slots".
	Member string `json:"member,omitempty"`
	// Expected describes the values that are valid there.
	Expected string `json:"expected"`
}

func (f Fault) String() string {
	text := "line " + strconv.Itoa(f.Line) + ": "
	if f.Member != "" {
		text += f.Member + ": "
	}
	return text + "expected " + f.Expected
}

// Faults is the error of an invalid settings file. It lists all faults of the file.
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

// decoder decodes one file and collects its faults.
type decoder struct {
	data   []byte
	faults []Fault
	// lines maps the path of each member to its line.
	lines map[string]int
}

// decode decodes data into target, a pointer to a struct. The faults it finds are
// in the returned decoder.
func decode(data []byte, target any) *decoder {
	dec := &decoder{data: data, lines: map[string]int{"": 1}}
	root, err := hujson.Parse(data)
	if err != nil {
		dec.addSyntaxFault(err)
		return dec
	}
	dec.decodeValue(root, reflect.ValueOf(target).Elem(), "")
	return dec
}

// addSyntaxFault records that the text is not JSON with comments. The line comes
// from the parser's error text.
func (dec *decoder) addSyntaxFault(err error) {
	line := 1
	text := err.Error()
	if _, rest, ok := strings.Cut(text, "line "); ok {
		digits, _, _ := strings.Cut(rest, ",")
		if n, err := strconv.Atoi(digits); err == nil {
			line = n
		}
	}
	dec.faults = append(dec.faults, Fault{Line: line, Expected: "JSON with comments (" + text + ")"})
}

func (dec *decoder) lineAtOffset(offset int) int {
	return 1 + bytes.Count(dec.data[:min(offset, len(dec.data))], []byte("\n"))
}

// addFault records that a member is invalid and what was expected. It keeps only
// the first fault of each member, but all faults of the file as a whole, whose path
// is empty.
func (dec *decoder) addFault(path, expected string) {
	if slices.ContainsFunc(dec.faults, func(f Fault) bool { return f.Member == path && path != "" }) {
		return
	}
	dec.faults = append(dec.faults, Fault{Line: dec.lineOfPath(path), Member: path, Expected: expected})
}

// lineOfPath returns the line of a member. If the file doesn't have the member, it
// returns the line of the nearest enclosing member.
func (dec *decoder) lineOfPath(path string) int {
	for {
		if line, ok := dec.lines[path]; ok {
			return line
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return dec.lines[""]
		}
		path = path[:i]
	}
}

// require records a fault if ok is false.
func (dec *decoder) require(ok bool, path, expected string) {
	if !ok {
		dec.addFault(path, expected)
	}
}

// err returns a *Faults error sorted by line, or nil if there are no faults.
func (dec *decoder) err() error {
	if len(dec.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(dec.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return &Faults{List: dec.faults}
}

// decodeValue decodes v into target according to the kind of target, and records
// the line of path.
func (dec *decoder) decodeValue(v hujson.Value, target reflect.Value, path string) {
	dec.lines[path] = dec.lineAtOffset(v.StartOffset)
	switch {
	case target.Kind() == reflect.Struct && !unmarshalsText(target):
		dec.decodeObject(v, target, path)
	case target.Kind() == reflect.Slice:
		dec.decodeArray(v, target, path)
	case target.Kind() == reflect.Map:
		dec.decodeMap(v, target, path)
	default:
		dec.decodeScalar(v, target, path)
	}
}

// unmarshalsText reports whether target implements encoding.TextUnmarshaler. Such
// structs are decoded as one scalar, not member by member.
func unmarshalsText(target reflect.Value) bool {
	_, ok := target.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	return ok
}

func (dec *decoder) decodeObject(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		dec.addFault(path, "an object")
		return
	}
	fields := fieldsByName(target)
	seen := make(map[string]bool)
	for _, m := range object.Members {
		name := memberName(m)
		memberPath := joinPath(path, name)
		dec.lines[memberPath] = dec.lineAtOffset(m.Name.StartOffset)
		field, known := fields[name]
		switch {
		case !known:
			dec.addFault(memberPath, "one of the members "+strings.Join(sortedNames(fields), ", "))
		case seen[name]:
			dec.addFault(memberPath, "each member once")
		default:
			seen[name] = true
			dec.decodeValue(m.Value, field, memberPath)
		}
	}
}

func (dec *decoder) decodeArray(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		dec.addFault(path, "a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, e := range array.Elements {
		dec.decodeValue(e, target.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

func (dec *decoder) decodeMap(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		dec.addFault(path, "an object")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for _, m := range object.Members {
		name := memberName(m)
		element := reflect.New(target.Type().Elem()).Elem()
		dec.decodeValue(m.Value, element, joinPath(path, name))
		target.SetMapIndex(reflect.ValueOf(name), element)
	}
}

func (dec *decoder) decodeScalar(v hujson.Value, target reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if ok && json.Unmarshal(literal, target.Addr().Interface()) == nil {
		return
	}
	dec.addFault(path, expectedScalar(target))
}

// expectedScalar describes the values that are valid for a scalar target.
func expectedScalar(target reflect.Value) string {
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

// fieldsByName returns the fields of a struct by their JSON names.
func fieldsByName(target reflect.Value) map[string]reflect.Value {
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

func memberName(m hujson.ObjectMember) string {
	literal, _ := m.Name.Value.(hujson.Literal)
	return literal.String()
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// ReadDocument reads and checks a fleet configuration. The error is *Faults. If the
// text decodes but the configuration is invalid, the faults are the reasons of the
// *fleet.InvalidError with their lines.
func ReadDocument(data []byte) (fleet.Document, error) {
	var d fleet.Document
	dec := decode(data, &d)
	if err := dec.err(); err != nil {
		return d, err
	}
	err := d.Config().Check()
	invalid, ok := errors.Into[*fleet.InvalidError](err)
	if !ok {
		return d, err
	}
	for _, reason := range invalid.Reasons {
		dec.faults = append(dec.faults, Fault{Line: dec.lineOfPath(documentPath(reason.Path)), Member: reason.Path, Expected: reason.Expected})
	}
	return d, dec.err()
}

// documentPath converts the path of a fleet check, such as "pool/tokens", to the
// path of the member in the document, such as "pools.tokens".
func documentPath(path string) string {
	kind, rest, ok := strings.Cut(path, "/")
	if !ok {
		return path
	}
	return kind + "s." + rest
}
