// Package series builds names of metric series. Values of labels come from the
// configuration and from registrations, and the metrics library panics on a name
// that is not valid, so no name with such a value is built elsewhere.
package series

import "strings"

// quoteValue escapes the characters that would end a quoted value or the line that
// exposes it.
var quoteValue = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Name returns the name of the series of a metric with the labels, which are given as
// pairs of a name and a value. The names are constants of the caller; a value may be
// any text. A label without a value has an empty one.
func Name(metric string, labels ...string) string {
	if len(labels) == 0 {
		return metric
	}
	var name strings.Builder
	name.WriteString(metric)
	separator := byte('{')
	for i := 0; i < len(labels); i += 2 {
		var value string
		if i+1 < len(labels) {
			value = strings.ToValidUTF8(labels[i+1], "\uFFFD")
		}
		name.WriteByte(separator)
		name.WriteString(labels[i])
		name.WriteString(`="`)
		name.WriteString(quoteValue.Replace(value))
		name.WriteByte('"')
		separator = ','
	}
	name.WriteByte('}')
	return name.String()
}
