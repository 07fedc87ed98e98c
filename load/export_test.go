package load

import "time"

// ForgetSums makes the next answer sum up again.
func (t *Table) ForgetSums() { t.sums.at = time.Time{} }
