package router

import (
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/placement"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
)

// serving returns the gatekeepers to which the request may go.
func (r *Router) serving(x *exchange) []registry.Registration {
	list := r.registry.Serving(x.service)
	rules := r.rulesOf(x)
	if rules.Evacuated == nil && len(rules.Homes) == 0 {
		return list
	}
	return rules.Filter(list)
}

func (r *Router) rulesOf(x *exchange) placement.Rules {
	var rules placement.Rules
	if r.evacuation.Any() {
		rules.Evacuated = r.evacuation.Evacuated
	}
	for _, homes := range [][]ids.Region{x.route.Homes, x.account.Homes} {
		if len(homes) > 0 {
			rules.Homes = append(rules.Homes, homes)
		}
	}
	return rules
}

// logEvacuatedServices logs the services whose targets are all in evacuated data centres.
func (r *Router) logEvacuatedServices() {
	p, ok := r.config.Policy()
	if !ok || !r.evacuation.Any() {
		return
	}
	rules := placement.Rules{Evacuated: r.evacuation.Evacuated}
	for _, s := range p.Services() {
		if list := r.registry.Serving(s); len(list) > 0 && len(rules.Filter(list)) == 0 {
			r.Common.Warn(event.ServiceEvacuated, zap.String("service", string(s)), zap.Int("targets", len(list)))
		}
	}
}
