package scenario

import "github.com/lentilpoint/lentilpoint/model"

// requestScenarios are the experiments on the request path.
var requestScenarios = []Scenario{}

var twoOrganisations = []model.OrganisationID{"bubbles", "wands"}
