package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Bytes is a size in bytes. JSON and String give it with its unit: B, KiB, MiB
// or GiB.
type Bytes int64

type byteUnit struct {
	suffix string
	factor int64
}

// byteUnits returns the largest unit first and "B", which is a suffix of the
// others, last.
func byteUnits() []byteUnit {
	return []byteUnit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
}

// String returns the size in the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range byteUnits() {
		if b != 0 && int64(b)%u.factor == 0 {
			return fmt.Sprintf("%d%s", int64(b)/u.factor, u.suffix)
		}
	}
	return "0B"
}

// MarshalJSON implements json.Marshaler.
func (b Bytes) MarshalJSON() ([]byte, error) { return json.Marshal(b.String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (b *Bytes) UnmarshalJSON(data []byte) error {
	allowed := errors.New(`a whole number with the unit B, KiB, MiB or GiB, such as "16KiB"`)
	var text string
	if json.Unmarshal(data, &text) != nil {
		return allowed
	}
	for _, u := range byteUnits() {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.factor {
			return allowed
		}
		*b = Bytes(n * u.factor)
		return nil
	}
	return allowed
}
