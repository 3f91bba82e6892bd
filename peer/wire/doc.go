// Package wire holds the generated messages of the protocol between entries.
// The types of package peer are made from them.
//
// # Usage
//
//	req := &wire.BeatRequest{State: &wire.State{Rev: 7}}
package wire
