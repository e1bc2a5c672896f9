package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// digestPrefix states the hash function in the text form of a digest.
const digestPrefix = "sha256:"

// Digest is the SHA-256 digest of a workspace's key. The table holds digests
// only, never keys.
type Digest [sha256.Size]byte

// NewDigest returns the digest of a key.
func NewDigest(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// UnmarshalText parses "sha256:" followed by 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	s, ok := strings.CutPrefix(string(text), digestPrefix)
	if !ok || len(s) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("must be %q followed by %d hexadecimal digits", digestPrefix, hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], []byte(s)); err != nil {
		return fmt.Errorf("must be %q followed by hexadecimal digits", digestPrefix)
	}
	return nil
}

// MarshalText returns the form that UnmarshalText parses.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// String returns the form that UnmarshalText parses.
func (d Digest) String() string {
	return digestPrefix + hex.EncodeToString(d[:])
}
