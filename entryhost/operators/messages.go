package operators

import (
	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("operators")

// revisionsRequest asks the server task for the revision that each other host
// reported.
type revisionsRequest struct {
	reply task.Reply[map[model.HostID]model.Revision]
}
