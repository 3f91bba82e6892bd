package fleet

import "time"

// Duration is a [time.Duration] that is encoded as text such as "1.5s".
type Duration time.Duration

// MarshalText implements [encoding.TextMarshaler].
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements [encoding.TextUnmarshaler]. It accepts the format of
// [time.ParseDuration]. The error is *InvalidDurationError.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return &InvalidDurationError{Text: string(b)}
	}
	*d = Duration(v)
	return nil
}

// InvalidDurationError reports text that is not a duration.
type InvalidDurationError struct {
	Text string
}

func (e *InvalidDurationError) Error() string {
	return "fleet: " + e.Text + ` is not a duration such as "1.5s"`
}
