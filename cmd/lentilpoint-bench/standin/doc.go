// Package standin holds small stand-ins of the systems around lentilpoint: the
// platform, a model engine and a plain service. They listen on loopback, log
// each execution and inject faults on request. Each is one task that owns its
// state; its HTTP handlers talk to it by messages.
package standin
