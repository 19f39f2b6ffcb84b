package codec

import (
	"anvilstand/core/crash"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// kindAccuse is the first of the kinds of admission, 60 to 69.
const kindAccuse kind = 60

func encodeAccuse(m peer.CrashReport) ([]byte, error) {
	d := m.Death()
	return sealKind(kindAccuse, d.Target(), d.Number(), d.Prints())
}

func decodeAccuse(body []byte) (peer.Message, error) {
	var (
		target model.Instance
		number uint64
		prints []model.Fingerprint
	)
	if err := unpack(body, &target, &number, &prints); err != nil {
		return nil, err
	}
	return peer.NewCrashReport(crash.NewReport(target, number, prints)), nil
}
