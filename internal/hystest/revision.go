package hystest

import "hyssopshore/core/hysmember"

// Revision returns a revision of the store's first era.
func Revision(number int64) hysmember.Revision { return hysmember.Revision{Number: number} }
