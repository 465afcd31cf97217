package callmux

import (
	"testing"

	"geraniumnotch.example/geraniumnotch/transport"
)

// BenchmarkHeads encodes and decodes the heads of a usual call and its response.
func BenchmarkHeads(b *testing.B) {
	open := openFrame{
		Stream: 7, ID: "9c41d07be2a35f68", Method: "POST", URI: "/lepu270/2f", Host: "jepu9.example", Caller: "huvo11a", Service: "huvo11b", HasBody: true, Body: make([]byte, 200),
		Header: []string{"Content-Type", "application/json", "User-Agent", "client/1", "Accept", "*/*", "Deadline", "3000"},
	}
	head := headFrame{Stream: 7, Status: 200, Header: []string{"Content-Type", "application/json", "Date", "Sat, 05 Dec 2026 21:00:00 GMT", "Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"}, BodyBytes: 200, Body: make([]byte, 200)}
	for b.Loop() {
		var gotOpen openFrame
		var gotHead headFrame
		if err := newMessage(transport.KindCallOpen, open).Decode(&gotOpen); err != nil {
			b.Fatal(err)
		}
		if err := newMessage(transport.KindResponseHead, head).Decode(&gotHead); err != nil {
			b.Fatal(err)
		}
	}
}
