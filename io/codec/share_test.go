package codec_test

import (
	"testing"

	"anvilstand/core/peer"
	"anvilstand/core/share"
	"anvilstand/io/codec"
)

var (
	holder = share.NewHolder("stock-1", "127.0.0.1:7002", 77)
	record = share.NewRecord([]share.Lease{
		share.NewLease("north", holder, 333_333, 0, true),
		share.NewLease("east", share.Holder{}, 333_333, 4.5, false),
	}, 333_334)
)

func TestShareMessages(t *testing.T) {
	cases := map[string]share.Message{
		"ask":        share.NewAsk("acme", 5, holder, 9, 3, 7, []share.Usage{share.NewUsage(1, 2, true), share.NewUsage(3, 0, false)}),
		"brief ask":  share.NewAsk("acme", 5, holder, 9, 3, 1, nil).AsOnDemand(),
		"report":     share.NewAsk("acme", 0, holder, 9, 3, 0, nil),
		"grant":      share.NewGrant("acme", 5, "north", holder, 8, 4, 2.25),
		"known":      share.NewRecordUpdate("acme", 0, holder, 4, record),
		"known none": share.NewRecordUpdate("acme", 6, holder, 0, share.Record{}),
	}
	for name, m := range cases {
		t.Run(name, func(t *testing.T) { roundTrip(t, peer.NewShare(m)) })
	}
}

func TestRecordRefused(t *testing.T) {
	cases := map[string]share.Record{
		"above the whole": share.NewRecord([]share.Lease{share.NewLease("a", holder, share.FullWeight+1, 0, false)}, 0),
		"fresh too large": share.NewRecord([]share.Lease{share.NewLease("a", holder, share.FullWeight, 0, false)}, 1),
		"two of a domain": share.NewRecord([]share.Lease{share.NewLease("a", holder, 1, 0, false), share.NewLease("a", holder, 1, 0, false)}, 0),
		"negative weight": share.NewRecord([]share.Lease{share.NewLease("a", holder, -1, 0, false)}, 0),
	}
	for name, r := range cases {
		t.Run(name, func(t *testing.T) {
			data, err := codec.EncodeRecord(r)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := codec.DecodeRecord(data); err == nil {
				t.Error("a record out of range was taken")
			}
		})
	}
}
