package model

import (
	"fmt"
	"time"
)

// Duration is a duration that settings and objects hold as text, e.g. "150ms".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String formats d in the same way as time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"150ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// dateLayout is the layout of dates in objects.
const dateLayout = "2006-01-02"

// Date is a day in UTC. The zero value means that no date is set.
type Date struct{ day time.Time }

// NewDate returns the day of t, in UTC.
func NewDate(t time.Time) Date { return Date{day: t.UTC().Truncate(24 * time.Hour)} }

// IsZero reports whether no date is set.
func (d Date) IsZero() bool { return d.day.IsZero() }

// Passed reports whether the whole day has passed at t. Dates are inclusive: a contract is
// valid until the end of its last day in UTC.
func (d Date) Passed(t time.Time) bool {
	return !d.IsZero() && !t.UTC().Before(d.day.AddDate(0, 0, 1))
}

// String formats the date as YYYY-MM-DD, or returns "" if it is not set.
func (d Date) String() string {
	if d.IsZero() {
		return ""
	}
	return d.day.Format(dateLayout)
}

// MarshalText implements encoding.TextMarshaler.
func (d Date) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Date) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*d = Date{}
		return nil
	}
	t, err := time.Parse(dateLayout, string(text))
	if err != nil {
		return fmt.Errorf("%q is not a date such as \"2028-11-30\"", text)
	}
	d.day = t
	return nil
}
