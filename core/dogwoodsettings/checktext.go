package dogwoodsettings

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Bounds of the operators' text. They are wide: they catch typing mistakes, such as a
// deadline in milliseconds, and keep a text small enough for every daemon to hold.
const (
	// LongestDeadline bounds MaxDeadline. Claims of non-repeatable calls expire after a
	// multiple of it.
	LongestDeadline = 6 * time.Hour
	// MaxInFlight bounds ColdLimit and WarmLimit.
	MaxInFlight = 100_000
	// MaxReplicas bounds Replicas of one model.
	MaxReplicas = 100_000
	// MaxWeight bounds a customer's weight.
	MaxWeight = 10_000
	// digestBytes is the length of a SHA-256 digest.
	digestBytes = 32
)

func checkText(text *Text, report *report) {
	if len(text.Services) == 0 {
		report.add("Services", "is missing or empty; a text lists at least one service")
	}
	services := map[dogwoodfleet.Service]bool{}
	for i := range text.Services {
		service := &text.Services[i]
		path := fmt.Sprintf("Services[%d]", i)
		checkName(report, path+".Name", string(service.Name))
		if services[service.Name] {
			report.add(path+".Name", "%q names two services", service.Name)
		}
		services[service.Name] = true
		checkService(report, path, service)
	}
	checkDependencies(text, services, report)
	checkCustomers(text, services, report)
}

// checkName reports a name that is empty or has characters that are not safe in a path,
// a header and a log line.
func checkName(report *report, path, name string) {
	if name == "" {
		report.add(path, "is missing")
		return
	}
	valid := func(letter rune) bool {
		return letter >= 'a' && letter <= 'z' || letter >= 'A' && letter <= 'Z' ||
			letter >= '0' && letter <= '9' || strings.ContainsRune("-._", letter)
	}
	if strings.ContainsFunc(name, func(letter rune) bool { return !valid(letter) }) {
		report.add(path, "%q has other characters than letters, digits, '-', '.' and '_'", name)
	}
}

func checkService(report *report, path string, service *Service) {
	switch service.Kind {
	case dogwoodfleet.EnginePool:
		checkModels(report, path, service)
		if len(service.Calls) > 0 {
			report.add(path+".Calls", "belongs to plain services; an engine pool's calls may all be repeated")
		}
	case dogwoodfleet.PlainService:
		checkCalls(report, path, service)
		if len(service.Models) > 0 {
			report.add(path+".Models", "belongs to engine pools")
		}
	default:
		report.add(path+".Kind", "is %q, where %s or %s belongs", service.Kind, dogwoodfleet.EnginePool, dogwoodfleet.PlainService)
	}
	checkDeadlines(report, path, service)
	checkLimits(report, path, service)
	checkObjectives(report, path, service)
}

func checkDeadlines(report *report, path string, service *Service) {
	deadline, maxDeadline := time.Duration(service.Deadline), time.Duration(service.MaxDeadline)
	if deadline <= 0 {
		report.add(path+".Deadline", "must be above 0")
	}
	if maxDeadline <= 0 || maxDeadline > LongestDeadline {
		report.add(path+".MaxDeadline", "must be above 0 and at most %s", LongestDeadline)
	}
	if deadline > maxDeadline {
		report.add(path+".Deadline", "%s is beyond MaxDeadline %s", deadline, maxDeadline)
	}
}

func checkLimits(report *report, path string, service *Service) {
	if service.ColdLimit < 1 || service.ColdLimit > MaxInFlight {
		report.add(path+".ColdLimit", "must be from 1 to %d", MaxInFlight)
	}
	if service.WarmLimit < service.ColdLimit || service.WarmLimit > MaxInFlight {
		report.add(path+".WarmLimit", "must be from ColdLimit (%d) to %d", service.ColdLimit, MaxInFlight)
	}
}

func checkModels(report *report, path string, service *Service) {
	if len(service.Models) == 0 {
		report.add(path+".Models", "is missing; an engine pool serves at least one model")
	}
	seen := map[dogwoodfleet.Model]bool{}
	for i := range service.Models {
		model := &service.Models[i]
		modelPath := fmt.Sprintf("%s.Models[%d]", path, i)
		checkName(report, modelPath+".Name", string(model.Name))
		if seen[model.Name] {
			report.add(modelPath+".Name", "%q is listed twice", model.Name)
		}
		seen[model.Name] = true
		if model.Replicas < 1 || model.Replicas > MaxReplicas {
			report.add(modelPath+".Replicas", "must be from 1 to %d", MaxReplicas)
		}
		if model.MaxPromptTokens < 0 {
			report.add(modelPath+".MaxPromptTokens", "must not be below 0")
		}
	}
}

func checkCalls(report *report, path string, service *Service) {
	for i, call := range service.Calls {
		callPath := fmt.Sprintf("%s.Calls[%d]", path, i)
		if call.Method == "" || strings.ToUpper(call.Method) != call.Method {
			report.add(callPath+".Method", "must be an HTTP method in capitals, such as \"POST\"")
		}
		if problem := patternProblem(call); problem != "" {
			report.add(callPath+".Path", "%s", problem)
		}
	}
}

// patternProblem returns what is wrong with the call's path, or "". It registers the
// pattern with a ServeMux, which panics on an invalid one.
func patternProblem(call Call) (problem string) {
	if !strings.HasPrefix(call.Path, "/") {
		return `must start with "/"`
	}
	defer func() {
		if reason := recover(); reason != nil {
			problem = fmt.Sprint(reason)
		}
	}()
	http.NewServeMux().Handle(call.Path, http.NotFoundHandler())
	return ""
}

func checkObjectives(report *report, path string, service *Service) {
	objectives := &service.Objectives
	if objectives.InTime < 0 || objectives.InTime >= 1 {
		report.add(path+".Objectives.InTime", "must be a share from 0 to below 1, such as 0.999")
	}
	lastUpTo := 0
	for i, objective := range objectives.FirstToken {
		objectivePath := fmt.Sprintf("%s.Objectives.FirstToken[%d]", path, i)
		if objective.UpToTokens <= lastUpTo {
			report.add(objectivePath+".UpToTokens", "must rise from one objective to the next")
		}
		lastUpTo = objective.UpToTokens
		if objective.Within <= 0 {
			report.add(objectivePath+".Within", "must be above 0")
		}
		if objective.Share <= 0 || objective.Share >= 1 {
			report.add(objectivePath+".Share", "must be a share above 0 and below 1, such as 0.95")
		}
	}
}

// checkDependencies reports unknown names and cycles. The services of a cycle would wait
// for each other forever.
func checkDependencies(text *Text, services map[dogwoodfleet.Service]bool, report *report) {
	for i := range text.Services {
		service := &text.Services[i]
		for j, dependency := range service.DependsOn {
			path := fmt.Sprintf("Services[%d].DependsOn[%d]", i, j)
			if !services[dependency] {
				report.add(path, "no service is named %q", dependency)
			}
		}
		seen := map[dogwoodfleet.Service]bool{}
		if cycle := text.findCycle(service.Name, service.Name, seen); cycle != nil {
			report.add(fmt.Sprintf("Services[%d].DependsOn", i), "the services depend on each other: %s", strings.Join(cycle, " -> "))
		}
	}
}

// findCycle returns the services on a dependency path from name to start, or nil. It visits
// each service once, so that the time does not grow with the number of paths.
func (text *Text) findCycle(start, name dogwoodfleet.Service, seen map[dogwoodfleet.Service]bool) []string {
	seen[name] = true
	service, known := text.Service(name)
	if !known {
		return nil
	}
	for _, dependency := range service.DependsOn {
		if dependency == start {
			return []string{string(name), string(start)}
		}
		if seen[dependency] {
			continue
		}
		if path := text.findCycle(start, dependency, seen); path != nil {
			return append([]string{string(name)}, path...)
		}
	}
	return nil
}

func checkCustomers(text *Text, services map[dogwoodfleet.Service]bool, report *report) {
	if len(text.Customers) == 0 {
		report.add("Customers", "is missing or empty; without one nobody may call")
	}
	names := map[dogwoodfleet.Customer]bool{}
	keys := map[string]dogwoodfleet.Customer{}
	for i := range text.Customers {
		customer := &text.Customers[i]
		path := fmt.Sprintf("Customers[%d]", i)
		checkName(report, path+".Name", string(customer.Name))
		if names[customer.Name] {
			report.add(path+".Name", "%q names two customers", customer.Name)
		}
		names[customer.Name] = true
		checkCustomerLimits(report, path, customer)
		checkKeys(report, path, customer, keys)
		for j, service := range customer.Services {
			if !services[service] {
				report.add(fmt.Sprintf("%s.Services[%d]", path, j), "no service is named %q", service)
			}
		}
	}
}

func checkCustomerLimits(report *report, path string, customer *Customer) {
	if customer.Weight <= 0 || customer.Weight > MaxWeight {
		report.add(path+".Weight", "must be above 0 and at most %d", MaxWeight)
	}
	if customer.RequestsPerSecond < 0 {
		report.add(path+".RequestsPerSecond", "must not be below 0; 0 means no limit")
	}
	if customer.TokensPerSecond < 0 {
		report.add(path+".TokensPerSecond", "must not be below 0; 0 means no limit")
	}
}

// checkKeys reports invalid digests and keys that two customers share: the work of one
// customer would be counted as the other's.
func checkKeys(report *report, path string, customer *Customer, keys map[string]dogwoodfleet.Customer) {
	if len(customer.KeySHA256) == 0 {
		report.add(path+".KeySHA256", "is missing; the customer could not call")
	}
	for i, digest := range customer.KeySHA256 {
		keyPath := fmt.Sprintf("%s.KeySHA256[%d]", path, i)
		decoded, err := hex.DecodeString(digest)
		if err != nil || len(decoded) != digestBytes {
			report.add(keyPath, "must be a SHA-256 digest of 64 hexadecimal digits")
			continue
		}
		normalized := strings.ToLower(digest)
		if owner, used := keys[normalized]; used {
			report.add(keyPath, "is a key of customer %q too", owner)
		}
		keys[normalized] = customer.Name
	}
}
