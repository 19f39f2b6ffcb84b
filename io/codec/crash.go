package codec

import (
	"anvilstand/core/crash"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// kindCrashReport is the kind of a crash report. Kinds 60 to 69 are for messages
// of admission.
const kindCrashReport kind = 60

func encodeCrashReport(m peer.CrashReport) ([]byte, error) {
	r := m.Report()
	return packMessage(kindCrashReport, r.Target(), r.Number(), r.Fingerprints())
}

func decodeCrashReport(body []byte) (peer.Message, error) {
	var (
		target       model.Instance
		number       uint64
		fingerprints []model.Fingerprint
	)
	if err := unpack(body, &target, &number, &fingerprints); err != nil {
		return nil, err
	}
	return peer.NewCrashReport(crash.NewReport(target, number, fingerprints)), nil
}
