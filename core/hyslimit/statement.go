package hyslimit

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

//go:generate go tool stringer -type=StatementKind,Change,Mode,Skipped,Place -linecomment -output=enum_string.go

// Rate is a number of requests per second.
type Rate float64

// maxRate bounds the rates, so that they can be calculated with. No limit of that
// size is ever reached.
const maxRate Rate = 1e6

// NewRate returns a value as a rate, at most maxRate. What is not a rate is 0.
func NewRate(value float64) Rate {
	if math.IsNaN(value) || value < 0 {
		return 0
	}
	return min(Rate(math.Abs(value)), maxRate)
}

// StatementKind is what a response says about the rate limit of its searcher.
type StatementKind uint8

// The kinds of statements.
const (
	StatementNone      StatementKind = iota // none
	StatementLimited                        // limited
	StatementUnlimited                      // unlimited
	StatementInvalid                        // invalid
)

// Statement is what one response says about the rate limit of its searcher. The zero
// Statement says nothing, as does a response that was lost.
type Statement struct {
	Kind StatementKind
	// Rate is the limit over all instances, if Kind is StatementLimited.
	Rate Rate
	// Problem says why the value can't be used, if Kind is StatementInvalid.
	Problem string
}

// decimalDigits are the characters of a decimal number; others would make
// strconv.ParseFloat accept hexadecimal numbers, infinities and NaN.
const decimalDigits = "+-.0123456789eE"

// ParseStatement parses the values of the field in which a response states a rate
// limit. Without a value the response states that there is no limit. A value that is
// repeated, or is not a decimal number from 0 on, is invalid.
func ParseStatement(values []string) Statement {
	switch {
	case len(values) == 0:
		return Statement{Kind: StatementUnlimited}
	case len(values) > 1:
		return invalid("%d rate limits in one response", len(values))
	}
	text := strings.TrimSpace(values[0])
	if text == "" || strings.Trim(text, decimalDigits) != "" {
		return invalid("rate limit %.40q is not a decimal number", text)
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(rate, 0) || rate < 0 {
		return invalid("rate limit %.40q is out of range", text)
	}
	return Statement{Kind: StatementLimited, Rate: NewRate(rate)}
}

func invalid(format string, args ...any) Statement {
	return Statement{Kind: StatementInvalid, Problem: fmt.Sprintf(format, args...)}
}
