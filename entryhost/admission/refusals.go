package admission

import (
	"fmt"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

func deadlinePassed() *model.Fault {
	return model.NotRun(model.KindDeadline, model.ReasonDeadlinePassed,
		"the deadline passed before a server was free", "send the request again with a later deadline")
}

func deadlineUnreachable(needed time.Duration) *model.Fault {
	return model.NotRun(model.KindOverloaded, model.ReasonDeadlineUnreachable,
		fmt.Sprintf("the request would need about %s, which is past its deadline", needed.Round(time.Millisecond)),
		"send it again after the stated pause, with a later deadline or fewer tokens").WithRetryAfter(time.Second)
}

func queueFull(service model.ServiceName) *model.Fault {
	return model.NotRun(model.KindOverloaded, model.ReasonQueueFull,
		"too many requests wait for service "+string(service),
		"retry after the stated pause, or add backend servers").WithRetryAfter(time.Second)
}

func quotaReached(limit int) *model.Fault {
	return model.NotRun(model.KindOverloaded, model.ReasonQuota,
		fmt.Sprintf("the organisation has %d requests open, its limit", limit),
		"wait until a request ends, or ask an operator for a higher limit").WithRetryAfter(time.Second)
}

func suspectRefused() *model.Fault {
	return model.NotRun(model.KindUnavailable, model.ReasonSuspectRequest,
		fmt.Sprintf("%d backend servers died while they ran this request", refuseDeaths),
		"change the request, or send it again after the stated pause").WithRetryAfter(suspectLifetime)
}

func retryBudgetSpent() *model.Fault {
	return model.NotRun(model.KindOverloaded, model.ReasonRetryBudget,
		"too many attempts failed lately; further ones would add to the load",
		"send the request again after the stated pause").WithRetryAfter(retryRefillTime)
}

func taskFailed(service model.ServiceName) *model.Fault {
	return model.NotRun(model.KindUnavailable, model.ReasonTaskFailed,
		"the dispatcher of service "+string(service)+" restarted", "send the request again")
}
