package verdicts

import "github.com/gaplink/gaplink/poison"

// hexFingerprint is a fingerprint that is stored as text.
type hexFingerprint poison.Fingerprint

// MarshalText implements encoding.TextMarshaler.
func (f hexFingerprint) MarshalText() ([]byte, error) {
	return []byte(poison.Fingerprint(f).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *hexFingerprint) UnmarshalText(text []byte) error {
	parsed, err := poison.Parse(string(text))
	*f = hexFingerprint(parsed)
	return err
}

// toHex returns the stored form of fingerprints.
func toHex(list []poison.Fingerprint) (stored []hexFingerprint) {
	for _, f := range list {
		stored = append(stored, hexFingerprint(f))
	}
	return stored
}

// fromHex returns stored fingerprints.
func fromHex(stored []hexFingerprint) (list []poison.Fingerprint) {
	for _, f := range stored {
		list = append(list, poison.Fingerprint(f))
	}
	return list
}
