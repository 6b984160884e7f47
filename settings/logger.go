package settings

import (
	"io"
	"log/slog"
)

// NewLogger returns a logger with the format and level of checked settings.
func (s Settings) NewLogger(writer io.Writer) *slog.Logger {
	var level slog.Level
	// Check has refused settings whose level cannot be decoded.
	_ = level.UnmarshalText([]byte(s.LogLevel))
	options := &slog.HandlerOptions{Level: level}
	if s.LogFormat == "text" {
		return slog.New(slog.NewTextHandler(writer, options))
	}
	return slog.New(slog.NewJSONHandler(writer, options))
}
