// Package questionnaire turns a team's answers into services and organisations,
// with the reason for each setting, and compares them with the configuration in
// force. It is pure: it reads no clock, file or socket, and makes no API keys.
package questionnaire
