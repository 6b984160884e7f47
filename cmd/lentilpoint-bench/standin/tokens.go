package standin

import (
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/lentilpoint/lentilpoint/enginewire"
)

// vocabularySize is the number of token ids; words and generated tokens have ids from
// 0 to vocabularySize-1.
const vocabularySize = 50_000

// crashToken is the token of CrashWord. It lies outside the vocabulary. Otherwise a
// generated token could have its id, and the continuation of the request, whose prompt
// includes that token, would crash engines.
const crashToken enginewire.TokenID = vocabularySize

// Tokenize returns one token id for each word of the text.
func Tokenize(text string) []enginewire.TokenID {
	words := strings.Fields(text)
	ids := make([]enginewire.TokenID, len(words))
	for i, word := range words {
		if word == CrashWord {
			ids[i] = crashToken
			continue
		}
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(word))
		ids[i] = enginewire.TokenID(hash.Sum32() % vocabularySize)
	}
	return ids
}

// TokenText returns the text of a token, with a leading space.
func TokenText(id enginewire.TokenID) string {
	return " w" + strconv.Itoa(int(id))
}

// NextToken returns the token that follows a context, which is given by its rolling
// hash. It depends on every earlier token, the seed and the version, so that a token
// that is lost, repeated or from another version changes all later ones.
func NextToken(contextHash uint64, seed int64, version string) enginewire.TokenID {
	hash := fnv.New64a()
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], contextHash)
	binary.LittleEndian.PutUint64(buffer[8:], uint64(seed))
	_, _ = hash.Write(buffer[:])
	_, _ = hash.Write([]byte(version))
	return enginewire.TokenID(hash.Sum64() % vocabularySize)
}

// ExpectedTokens returns the first count tokens of a generation without faults.
func ExpectedTokens(prompt []enginewire.TokenID, seed int64, version string, count int) []enginewire.TokenID {
	contextHash := hashTokens(prompt)
	tokens := make([]enginewire.TokenID, 0, count)
	for range count {
		id := NextToken(contextHash, seed, version)
		tokens = append(tokens, id)
		contextHash = enginewire.ExtendHash(contextHash, id)
	}
	return tokens
}

// PromptHash returns the value of Attempt.PromptHash for a text prompt.
func PromptHash(text string) uint64 { return hashTokens(Tokenize(text)) }

// hashTokens returns the rolling hash of a sequence of tokens.
func hashTokens(ids []enginewire.TokenID) uint64 {
	var hash uint64
	for _, id := range ids {
		hash = enginewire.ExtendHash(hash, id)
	}
	return hash
}

// promptTokens decodes a prompt given as chat messages, text or token ids.
func promptTokens(body enginewire.Generation) ([]enginewire.TokenID, error) {
	if len(body.Messages) > 0 {
		return ChatTokens(body.Messages)
	}
	var text string
	if err := json.Unmarshal(body.Prompt, &text); err == nil {
		return Tokenize(text), nil
	}
	var ids []enginewire.TokenID
	err := json.Unmarshal(body.Prompt, &ids)
	return ids, Error.Wrap(err)
}

// ChatTokens applies the stand-in's chat template to JSON messages and returns the
// tokens.
func ChatTokens(messages json.RawMessage) ([]enginewire.TokenID, error) {
	var turns []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	if err := json.Unmarshal(messages, &turns); err != nil {
		return nil, Error.Wrap(err)
	}
	var text strings.Builder
	for _, turn := range turns {
		text.WriteString("<" + turn.Role + "> " + turn.Content + " ")
	}
	return Tokenize(text.String()), nil
}
