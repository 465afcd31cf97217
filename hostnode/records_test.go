package hostnode

import (
	"fmt"
	"math"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/peers"
	"geraniumnotch.example/geraniumnotch/platform"
	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// Guards against a host that ends or loses the others because of a foreign host record.
func TestHostsFindEachOtherBesideOddRecords(t *testing.T) {
	inBubble(t, "records that are nested, truncated, or out of range", func(t *testing.T) {
		f := newBubbleFixture(t)
		defer f.close()
		f.store.Write(platform.ConfigKey, standin.Config(4, "one"))
		record := func(r peers.Record) []byte {
			value, err := peers.EncodeRecord(r)
			So(err, ShouldBeNil)
			return value
		}
		odd := map[string][]byte{
			"a-nested": []byte(strings.Repeat("\x81", 60000) + "\x00"),
			"b-empty":  nil,
			"c-cut":    record(peers.Record{Host: "c-cut", Address: "10.0.0.1:1"})[:5],
			"d-number": []byte("\xa1\x04\xc2\x58\x20" + strings.Repeat("\xff", 32)),
			"e-port":   record(peers.Record{Host: "e-port", Address: "127.0.0.1:99999", Incarnation: math.MaxInt64, LinkMbps: math.Inf(1)}),
			"f-text":   []byte(`{"address":"10.0.0.1:80"}`),
			"z-nan":    record(peers.Record{Host: "z-nan", Address: "nowhere", FailureDomain: "d", Incarnation: math.MinInt64, LinkMbps: math.NaN()}),
		}
		for key, value := range odd {
			f.store.Write(hostsPrefix+key, value)
		}
		for i := range 3 {
			f.addHost(fmt.Sprint("host-", i), "one")
		}
		waitFor(func() bool { return f.allHave(4) })
		So(f.lateHosts(9), ShouldBeEmpty)
	})
}
