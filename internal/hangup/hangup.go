// Package hangup keeps SIGHUP from ending the process. A program that imports it ignores the signal from before its first
// Go code on, which takes some milliseconds to start, until it asks for it with signal.Notify.
package hangup
