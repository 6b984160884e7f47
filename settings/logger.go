package settings

import (
	"io"
	"log/slog"
)

// NewLogger returns a logger that writes in the format and from the level of the
// settings, which must have passed Check.
func (s Settings) NewLogger(writer io.Writer) *slog.Logger {
	var level slog.Level
	// Check rejects a level that cannot be decoded.
	_ = level.UnmarshalText([]byte(s.LogLevel))
	options := &slog.HandlerOptions{Level: level}
	if s.LogFormat == "text" {
		return slog.New(slog.NewTextHandler(writer, options))
	}
	return slog.New(slog.NewJSONHandler(writer, options))
}
