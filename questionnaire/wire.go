package questionnaire

import (
	"bytes"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("questionnaire")

// Decode reads answers from YAML. It rejects unknown keys, because a misspelt key
// would otherwise be ignored.
func Decode(content []byte) (Answers, error) {
	var answers Answers
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(&answers); err != nil {
		return Answers{}, Error.New("the answers cannot be read: %v; compare them with the files in examples/", err)
	}
	return answers, nil
}

// Encode writes answers as YAML.
func Encode(answers Answers) ([]byte, error) {
	content, err := yaml.Marshal(answers)
	return content, Error.Wrap(err)
}
