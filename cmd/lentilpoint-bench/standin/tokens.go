package standin

import (
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/lentilpoint/lentilpoint/enginewire"
)

// vocabulary is the number of token ids of words and of generated tokens.
const vocabulary = 50_000

// crashToken is the token of CrashWord. It lies outside the vocabulary, because
// a generated token with the same id would turn the continuation of any
// request into one that crashes engines.
const crashToken enginewire.TokenID = vocabulary

// Tokenize turns text into token ids, one for each word.
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
		ids[i] = enginewire.TokenID(hash.Sum32() % vocabulary)
	}
	return ids
}

// TokenText is the text of a token.
func TokenText(id enginewire.TokenID) string {
	return " w" + strconv.Itoa(int(id))
}

// NextToken is the token that follows a context, given by its rolling hash. It
// depends on every earlier token, the seed and the version, so that a lost,
// repeated or mixed token changes all later ones.
func NextToken(context uint64, seed int64, version string) enginewire.TokenID {
	hash := fnv.New64a()
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], context)
	binary.LittleEndian.PutUint64(bytes[8:], uint64(seed))
	_, _ = hash.Write(bytes[:])
	_, _ = hash.Write([]byte(version))
	return enginewire.TokenID(hash.Sum64() % vocabulary)
}

// Expected returns the tokens that an undisturbed generation has.
func Expected(prompt []enginewire.TokenID, seed int64, version string, count int) []enginewire.TokenID {
	context := rollAll(prompt)
	tokens := make([]enginewire.TokenID, 0, count)
	for range count {
		id := NextToken(context, seed, version)
		tokens = append(tokens, id)
		context = enginewire.ExtendHash(context, id)
	}
	return tokens
}

// PromptHash is the hash of a text prompt in an Attempt.
func PromptHash(text string) uint64 { return rollAll(Tokenize(text)) }

func rollAll(ids []enginewire.TokenID) uint64 {
	var hash uint64
	for _, id := range ids {
		hash = enginewire.ExtendHash(hash, id)
	}
	return hash
}

// promptIDs decodes a prompt given as text or as token ids.
func promptIDs(body enginewire.Generation) ([]enginewire.TokenID, error) {
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

// ChatTokens applies the stand-in's chat template.
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
