// Package events defines the numbered log events of all programs. Each package
// defines its events as package variables. Operators look up a number in
// docs/events.md, which a test compares with the registered events.
package events

import (
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/registry"
)

// Number identifies an event. Numbers are never reused.
type Number int

// Event describes a kind of log line.
type Event struct {
	Number  Number
	Level   hclog.Level
	Message string
	// Action tells an operator what the event means and what to do.
	Action string
}

var registered = registry.New[Number, Event]("log event")

// Define registers an event. It panics when the number is taken.
func Define(number Number, level hclog.Level, message, action string) Event {
	e := Event{Number: number, Level: level, Message: message, Action: action}
	registered.Add(number, e)
	return e
}

// All returns every defined event in the order of their numbers.
func All() []Event { return registered.All() }

// Log writes the event to logger with alternating keys and values. With a nil
// logger it does nothing.
func (e Event) Log(logger hclog.Logger, keysAndValues ...any) {
	if logger == nil {
		return
	}
	args := append([]any{"event", int(e.Number)}, keysAndValues...)
	logger.Log(e.Level, e.Message, args...)
}
