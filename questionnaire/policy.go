package questionnaire

import (
	"fmt"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

// Setting is one generated setting with the reason for its value. Target is the
// service or organisation that it belongs to.
type Setting struct {
	Target string `json:"target"`
	Name   string `json:"name"`
	Value  string `json:"value"`
	Reason string `json:"reason"`
}

// Plan is the configuration that is generated from answers, with a reason for each
// setting. Its organisations have no API keys yet.
type Plan struct {
	Services      []model.Service
	Organisations []model.Organisation
	Settings      []Setting
}

// Generate returns the plan for valid answers, or else every problem and no plan.
func Generate(answers Answers) (Plan, []Problem) {
	if problems := Check(answers); len(problems) > 0 {
		return Plan{}, problems
	}
	var plan Plan
	for _, service := range answers.Services {
		plan.addService(answers, service)
	}
	for _, organisation := range answers.Organisations {
		plan.addOrganisation(organisation)
	}
	return plan, nil
}

func (p *Plan) addSetting(target, name string, value any, reason string) {
	p.Settings = append(p.Settings, Setting{Target: target, Name: name, Value: fmt.Sprint(value), Reason: reason})
}

func (p *Plan) addService(answers Answers, answer Service) {
	target := "service " + answer.Name
	service := model.Service{Name: model.ServiceName(answer.Name), Kind: model.ServicePlain}
	if answer.Kind == KindModel {
		service.Kind = model.ServiceEngine
	}
	if answer.Version != "" {
		service.Shares = []model.VersionShare{{Version: model.Version(answer.Version), Share: model.FullShare}}
		p.addSetting(target, "shares", answer.Version+" 100%", "the first version gets all traffic; later ones come by moves")
	}
	p.setDeadline(target, answers.Callers, answer, &service)
	if answer.Kind == KindModel {
		p.setModelOptions(target, answers, answer, &service)
	} else {
		p.setPlainOptions(target, answer, &service)
	}
	p.Services = append(p.Services, service)
}

func (p *Plan) setDeadline(target string, callers Callers, answer Service, service *model.Service) {
	deadline, reason := callers.Deadline, "callers wait this long for a whole answer"
	if answer.Deadline != "" {
		deadline, reason = answer.Deadline, "the service has a deadline of its own"
	}
	// Check rejects durations that cannot be parsed.
	service.DefaultDeadline, _ = time.ParseDuration(deadline)
	p.addSetting(target, "default_deadline", service.DefaultDeadline, reason)
}

func (p *Plan) setModelOptions(target string, answers Answers, answer Service, service *model.Service) {
	tolerance := answers.Callers.DelayTolerance
	service.ResumeEager = answers.Prefer == PreferLowDelay
	reason := fmt.Sprintf("callers accept a silence of %s and extra servers cost more than that wait", tolerance)
	if service.ResumeEager {
		reason = fmt.Sprintf("callers accept a silence of %s and low delay is worth extra prefill", tolerance)
	}
	p.addSetting(target, "resume_eager", service.ResumeEager, reason)
	service.ChecksFencing = answer.ChecksFencing
	reason = "servers do not check fencing numbers, so a new lease holder waits and reads their state back"
	if answer.ChecksFencing {
		reason = "servers refuse orders with an old fencing number, so a new lease holder may start at once"
	}
	p.addSetting(target, "checks_fencing", service.ChecksFencing, reason)
}

func (p *Plan) setPlainOptions(target string, answer Service, service *model.Service) {
	service.RepeatableMethods = answer.RepeatableMethods
	service.ChecksFencing = answer.ChecksFencing
	if len(answer.RepeatableMethods) == 0 {
		p.addSetting(target, "repeatable_methods", "none", "no call may run twice, so none is repeated after it may have reached a server")
		return
	}
	p.addSetting(target, "repeatable_methods", strings.Join(answer.RepeatableMethods, " "), "these calls may run twice; all others run at most once")
}

func (p *Plan) addOrganisation(answer Organisation) {
	target := "organisation " + answer.Name
	organisation := model.Organisation{ID: model.OrganisationID(answer.Name), Weight: answer.Weight}
	p.addSetting(target, "weight", answer.Weight, "its part of the servers while several organisations wait")
	if answer.PeakOpen > 0 {
		organisation.MaxOpen = answer.PeakOpen
		p.addSetting(target, "max_open", organisation.MaxOpen, "its peak of open requests; entry hosts share their usage, so the limit holds for all together")
	}
	p.Organisations = append(p.Organisations, organisation)
}
