package fleet

import "time"

// Duration is a [time.Duration] written as text such as "1.5s".
type Duration time.Duration

// MarshalText writes the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads text that [time.ParseDuration] accepts. The error is *BadDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return &BadDuration{Text: string(b)}
	}
	*d = Duration(v)
	return nil
}

// BadDuration reports text that is not a duration.
type BadDuration struct {
	Text string
}

func (e *BadDuration) Error() string {
	return "fleet: " + e.Text + ` is not a duration such as "1.5s"`
}
