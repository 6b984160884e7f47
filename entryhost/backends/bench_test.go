package backends

import "testing"

// BenchmarkDecodeChunk measures the decoding of one chunk with one token.
func BenchmarkDecodeChunk(b *testing.B) {
	chunk := string(`{"id":"x","choices":[{"index":0,"text":" token","token_ids":[4711],"finish_reason":null}]}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, failure := decodeChunk(chunk); failure != nil {
			b.Fatal(failure)
		}
	}
}
