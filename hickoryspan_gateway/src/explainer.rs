//! Explains where a request would go now and why. Reads the state of the entry; sends, counts and changes nothing.

use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::gateway::admission::overload::{ShardQueues, shed_fraction};
use hickoryspan_core::gateway::documents::accounts::{ClientAccount, KeyDigest};
use hickoryspan_core::gateway::documents::document::{RouteDestination, RouteRule};
use hickoryspan_core::gateway::explanation::{
    CheckExplanation, ExplainQuestion, RequestExplanation, ServiceExplanation, WorkExplanation,
};
use hickoryspan_core::gateway::targets::cost_model::{RequestTraits, WorkEstimate};
use hickoryspan_core::types::{MonotonicTime, ServiceId};

use crate::forward::{answer_time, clamp_hedge_delay, fingerprint};
use crate::gateway_state::{GatewayState, INITIAL_LATENCY_DIVISOR, SharedDecisions};

/// Maximum number of services that one explanation names.
const MAX_SERVICES: usize = 8;

/// Explains the decisions of one entry.
#[derive(Clone)]
pub struct EntryExplainer {
    pub(crate) state: Arc<GatewayState>,
}

impl EntryExplainer {
    /// Returns where a request would go now.
    pub fn explain(&self, question: &ExplainQuestion) -> RequestExplanation {
        let state = &self.state;
        let guard = state.decisions();
        // A shared reference, so that nothing can be changed by accident.
        let decisions: &SharedDecisions = &guard;
        let run = ExplanationRun { state, decisions, now: state.now(), question };
        let mut explanation = RequestExplanation {
            entry: state.settings.entry.as_str().into(),
            version: decisions.version().map(|version| version.0),
            policy: state.settings.selection.policy.as_str().into(),
            ..RequestExplanation::default()
        };
        run.fill(&mut explanation);
        explanation
    }
}

struct ExplanationRun<'a> {
    state: &'a GatewayState,
    decisions: &'a SharedDecisions,
    now: MonotonicTime,
    question: &'a ExplainQuestion,
}

fn check(name: &str, passed: bool, detail: impl Into<Arc<str>>) -> CheckExplanation {
    CheckExplanation { check: name.into(), passed, detail: detail.into() }
}

impl ExplanationRun<'_> {
    /// Fills in what is known, up to the first check that refuses the request.
    fn fill(&self, explanation: &mut RequestExplanation) {
        let routes = self.decisions.routes.as_ref();
        explanation.checks.push(check("configuration", routes.is_some(), "in force at this entry"));
        let Some(routes) = routes else { return };
        let path = self.question.path.split('?').next().unwrap_or_default();
        let route = routes.find(&self.question.host, path);
        explanation.checks.push(check("route", route.is_some(), "by host and path prefix"));
        let Some(route) = route else { return };
        explanation.route = Some(route.name.clone());
        let account = self.find_account();
        if routes.requires_keys() {
            let passed = account.is_some() || route.public;
            let detail = match (account, route.public) {
                (Some(_), _) => "the key is known",
                (None, true) => "no known key, the route is public",
                (None, false) => "no known key",
            };
            explanation.checks.push(check("key", passed, detail));
            if !passed {
                return;
            }
        }
        explanation.account = account.map(|account| account.account.as_str().into());
        let priority = account.and_then(|account| account.priority).unwrap_or(route.priority);
        explanation.priority = Some(priority);
        let fingerprint = self.fingerprint(route);
        let condemned = self.decisions.poison.is_condemned(self.now, &fingerprint);
        explanation.checks.push(check("suspicion", !condemned, "crashes of targets by it"));
        if condemned {
            return;
        }
        let services = route.destination.services();
        explanation.checks.push(self.check_targets(route, &services));
        explanation.checks.push(self.check_overload(route, &services, priority));
        let estimate = self.estimate(route, account);
        explanation.work = estimate.map(|estimate| self.explain_work(route, &estimate));
        let delay = self.hedge_delay(route, estimate.as_ref());
        explanation.hedge_after_ms = Some(delay.as_secs_f64() * 1_000.0);
        let named = services.iter().take(MAX_SERVICES);
        explanation.services = named.map(|name| self.explain_service(name, &estimate)).collect();
        explanation.further_services = services.len().saturating_sub(MAX_SERVICES);
    }

    fn find_account(&self) -> Option<&Arc<ClientAccount>> {
        let routes = self.decisions.routes.as_ref()?;
        let key = self.question.key.as_ref()?;
        routes.find_account(&KeyDigest::of(key.as_bytes()))
    }

    fn fingerprint(&self, route: &RouteRule) -> hickoryspan_core::types::RequestFingerprint {
        fingerprint(&route.host, &self.question.method, &self.question.path, &[])
    }

    fn check_targets(&self, route: &RouteRule, services: &[&ServiceId]) -> CheckExplanation {
        let selector = &self.decisions.selector;
        let open = services.iter().filter(|service| selector.count_open(self.now, service) > 0);
        let open = open.count();
        let needed = match &route.destination {
            RouteDestination::Shards(spread) => spread.min_parts(),
            RouteDestination::Service(_) | RouteDestination::Split(_) => 1,
        };
        let detail =
            format!("{open} of {} services have a target, {needed} needed", services.len());
        check("targets", open >= needed, detail)
    }

    fn check_overload(
        &self,
        route: &RouteRule,
        services: &[&ServiceId],
        priority: u32,
    ) -> CheckExplanation {
        let selector = &self.decisions.selector;
        let queues = services.iter().filter_map(|name| selector.shortest_queue(self.now, name));
        let queues = ShardQueues::new(queues);
        let parts = match &route.destination {
            RouteDestination::Shards(spread) => spread.min_parts(),
            RouteDestination::Service(_) | RouteDestination::Split(_) => 1,
        };
        let queue = queues.limiting_queue(parts);
        let fraction = shed_fraction(queue, priority);
        let detail = format!("{queue:.2} waiting per slot, {:.0}% are refused", fraction * 100.0);
        check("overload", fraction == 0.0, detail)
    }

    fn estimate(
        &self,
        route: &RouteRule,
        account: Option<&Arc<ClientAccount>>,
    ) -> Option<WorkEstimate> {
        let traits = RequestTraits {
            route: route.name.clone(),
            account: account.map(|account| account.account.as_str().into()),
            body_bytes: 0,
            fingerprint: self.fingerprint(route),
            prior: route.objective / INITIAL_LATENCY_DIVISOR,
        };
        self.decisions.selector.estimate(self.now, &traits)
    }

    fn explain_work(&self, route: &RouteRule, estimate: &WorkEstimate) -> WorkExplanation {
        WorkExplanation {
            mean_ms: estimate.mean.as_secs_f64() * 1_000.0,
            high_ms: estimate.high.as_secs_f64() * 1_000.0,
            source: estimate.source.as_str().into(),
            explained: self.decisions.selector.explained_variance(&route.name),
        }
    }

    fn hedge_delay(&self, route: &RouteRule, estimate: Option<&WorkEstimate>) -> Duration {
        let usual = self.decisions.known_latency(route).hedge;
        let answer_in = answer_time(route.objective, self.state.settings.caller_delay);
        clamp_hedge_delay(usual, estimate, answer_in)
    }

    fn explain_service(
        &self,
        service: &ServiceId,
        estimate: &Option<WorkEstimate>,
    ) -> ServiceExplanation {
        let selector = &self.decisions.selector;
        ServiceExplanation {
            service: service.clone(),
            queue: selector.shortest_queue(self.now, service),
            targets: selector.explain(self.now, service, estimate.as_ref()),
        }
    }
}
