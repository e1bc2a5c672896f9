package table

// Precedence says which of two texts of a value is in effect after the platform was
// restored from a copy: the earlier one, which was in effect before, or the restored
// one, which the platform has now.
type Precedence int

const (
	// PrecedenceUnknown means that the texts do not tell. The earlier one stays in
	// effect for a limited time, or until the value is written again.
	PrecedenceUnknown Precedence = iota
	// PrecedenceRestored means that the restored text is not older.
	PrecedenceRestored
	// PrecedenceEarlier means that the earlier text is newer. It stays in effect until
	// the platform has a text that is not older.
	PrecedenceEarlier
)
