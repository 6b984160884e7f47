package backends

import (
	"net/http"
	"strings"
)

// EndToEndHeaders returns a copy without the hop-by-hop headers, including those
// that the Connection header names.
func EndToEndHeaders(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		return http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	return kept
}
