package codec_test

import (
	"testing"

	"anvilstand/core/peer"
	"anvilstand/core/quota"
	"anvilstand/io/codec"
)

var (
	holder = quota.NewHolder("stock-1", "127.0.0.1:7002", 77)
	record = quota.NewRecord([]quota.Lease{
		quota.NewLease("north", holder, 333_333, 0, true),
		quota.NewLease("east", quota.Holder{}, 333_333, 4.5, false),
	}, 333_334)
)

func TestQuotaMessages(t *testing.T) {
	cases := map[string]quota.Message{
		"ask":           quota.NewAsk("acme", 5, holder, 9, 3, 7, []quota.Usage{quota.NewUsage(1, 2, true), quota.NewUsage(3, 0, false)}),
		"on-demand ask": quota.NewAsk("acme", 5, holder, 9, 3, 1, nil).AsOnDemand(),
		"report":        quota.NewAsk("acme", 0, holder, 9, 3, 0, nil),
		"grant":         quota.NewGrant("acme", 5, "north", holder, 8, 4, 2.25),
		"record update": quota.NewRecordUpdate("acme", 0, holder, 4, record),
		"no record":     quota.NewRecordUpdate("acme", 6, holder, 0, quota.Record{}),
	}
	for name, m := range cases {
		t.Run(name, func(t *testing.T) { roundTrip(t, peer.NewQuota(m)) })
	}
}

func TestRecordRefused(t *testing.T) {
	cases := map[string]quota.Record{
		"above full weight":           quota.NewRecord([]quota.Lease{quota.NewLease("a", holder, quota.FullWeight+1, 0, false)}, 0),
		"never held weight too large": quota.NewRecord([]quota.Lease{quota.NewLease("a", holder, quota.FullWeight, 0, false)}, 1),
		"two leases of a domain":      quota.NewRecord([]quota.Lease{quota.NewLease("a", holder, 1, 0, false), quota.NewLease("a", holder, 1, 0, false)}, 0),
		"negative weight":             quota.NewRecord([]quota.Lease{quota.NewLease("a", holder, -1, 0, false)}, 0),
	}
	for name, r := range cases {
		t.Run(name, func(t *testing.T) {
			data, err := codec.EncodeRecord(r)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := codec.DecodeRecord(data); err == nil {
				t.Error("record out of range decodes without an error")
			}
		})
	}
}
