package hysquery

import "fmt"

//go:generate go tool stringer -type=Class,Outcome,ShardStatus -linecomment -output=enum_string.go

// Class is the urgency class of a request.
type Class uint8

// The classes of requests.
const (
	ClassUrgent Class = iota // urgent
	ClassBulk                // bulk
)

// Outcome tells how a request ended.
type Outcome uint8

// The outcomes of requests.
const (
	OutcomeComplete Outcome = iota // complete
	OutcomePartial                 // partial
	OutcomeNotRun                  // not-run
	OutcomeUnknown                 // unknown
)

// ShardStatus tells whether a shard answered, and if not, why.
type ShardStatus uint8

// The statuses of a shard in an answer.
const (
	ShardAnswered    ShardStatus = iota // answered
	ShardTimeout                        // timeout
	ShardUnavailable                    // unavailable
	ShardOverloaded                     // overloaded
	ShardVersionGone                    // version-gone
	ShardEpochGone                      // epoch-gone
	ShardQuarantined                    // quarantined
	ShardFailed                         // failed
)

// ParseClass returns the class with the given name. The error is a *FieldError.
func ParseClass(name string) (Class, error) {
	for c := ClassUrgent; c <= ClassBulk; c++ {
		if c.String() == name {
			return c, nil
		}
	}
	return 0, fmt.Errorf("ParseClass: %w", invalid("class", "%q is not urgent or bulk", name))
}

// MarshalText returns the name of the class.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText parses the name of a class.
func (c *Class) UnmarshalText(text []byte) error {
	parsed, err := ParseClass(string(text))
	if err != nil {
		return fmt.Errorf("Class.UnmarshalText: %w", err)
	}
	*c = parsed
	return nil
}

// MarshalText returns the name of the outcome.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText parses the name of an outcome.
func (o *Outcome) UnmarshalText(text []byte) error {
	for v := OutcomeComplete; v <= OutcomeUnknown; v++ {
		if v.String() == string(text) {
			*o = v
			return nil
		}
	}
	return fmt.Errorf("Outcome.UnmarshalText: outcome %q: %w", text, ErrInvalid)
}

// MarshalText returns the name of the status.
func (s ShardStatus) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a status.
func (s *ShardStatus) UnmarshalText(text []byte) error {
	for v := ShardAnswered; v <= ShardFailed; v++ {
		if v.String() == string(text) {
			*s = v
			return nil
		}
	}
	return fmt.Errorf("ShardStatus.UnmarshalText: status %q: %w", text, ErrInvalid)
}
