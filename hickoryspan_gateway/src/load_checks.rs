//! Checks before the run of a request whether its targets can serve it. A request that fails one is refused before anything
//! is sent.

use hickoryspan_core::gateway::admission::fair_share::AccountRequest;
use hickoryspan_core::gateway::admission::overload::{ShardQueues, shed_fraction};
use hickoryspan_core::gateway::documents::document::ShardSpread;
use hickoryspan_core::gateway::fanouts::fanout::FanoutSettings;
use hickoryspan_core::gateway::log_limit::LogPriority;
use hickoryspan_core::types::{CostUnits, MonotonicTime, ServiceId};

use crate::attempt::GatewayJob;
use crate::gateway_state::{GatewayState, SharedDecisions};

/// Returns whether enough shards have a usable target. If not, the request is refused before anything is sent.
pub(crate) fn has_enough_targets(state: &GatewayState, spread: &ShardSpread) -> bool {
    let now = state.now();
    let decisions = state.decisions();
    let reachable = |shard: &&ServiceId| decisions.selector.count_open(now, shard) > 0;
    spread.shards.iter().filter(reachable).count() >= spread.min_parts()
}

/// Returns whether the limits of targets leave too few of them for an answer. If so, the request is refused before
/// anything is sent. Shards that other entries send to are left to these.
pub(crate) fn exceeds_limits(
    state: &GatewayState,
    services: &[ServiceId],
    spread: Option<&ShardSpread>,
    settings: &FanoutSettings,
) -> bool {
    let now = state.now();
    let mut decisions = state.decisions();
    if !decisions.selector.has_limits() {
        return false;
    }
    let is_divided =
        spread.is_some_and(|spread| !decisions.shard_groups(&state.settings, spread).is_empty());
    if is_divided {
        return false;
    }
    let selector = &mut decisions.selector;
    let closed = |service: &&ServiceId| {
        selector.count_usable(service) > 0 && !selector.has_permitted_target(now, service)
    };
    let closed = services.iter().filter(closed).count();
    if closed == 0 || services.len() - closed >= settings.min_parts {
        return false;
    }
    for service in services {
        decisions.selector.note_request(now, service);
    }
    true
}

/// Returns whether admission control sheds this request because the queues of its targets are too long.
pub(crate) fn is_overloaded(
    state: &GatewayState,
    job: &GatewayJob,
    services: &[ServiceId],
    settings: &FanoutSettings,
) -> bool {
    let now = state.now();
    let mut decisions = state.decisions();
    let queue = |service| decisions.selector.shortest_queue(now, service);
    let queues = ShardQueues::new(services.iter().filter_map(queue));
    let queue = queues.limiting_queue(settings.min_parts);
    let fraction = shed_fraction(queue, job.priority());
    let refused_part = account_refused_part(&mut decisions, now, job, services, fraction);
    let shed = refused_part > 0.0 && decisions.draw() < refused_part;
    count_account_request(&mut decisions, job, shed);
    drop(decisions);
    if shed && state.admits_log_line(LogPriority::Important) {
        spdlog::info!(
            "request shed, target queues are long",
            kv: {
                request: = job.request_text(),
                route: = job.route.name,
                account: = job.account_text(),
                waiting_per_slot: = queue,
                refused_of_all: = fraction,
                refused_part: = refused_part
            }
        );
    }
    shed
}

/// Returns the part of the requests of this request's account that is refused. Without an account, it is that of all
/// requests.
fn account_refused_part(
    decisions: &mut SharedDecisions,
    now: MonotonicTime,
    job: &GatewayJob,
    services: &[ServiceId],
    refused_of_all: f64,
) -> f64 {
    let Some(identity) = &job.identity else { return refused_of_all };
    // Routes with the same shards need the same targets, and so does a route to a single service.
    let Some(service) = services.first() else { return refused_of_all };
    let routes = decisions.routes.as_ref();
    let weight = routes.and_then(|routes| routes.share_weight(&identity.account));
    let Some(weight) = weight else { return refused_of_all };
    let request = AccountRequest {
        service,
        account: &identity.account.account,
        weight,
        // Not the measured latency: the one assumed at first may be far above it, and it grows with queues.
        cost: CostUnits(services.len() as f64),
    };
    decisions.shares.refused_part(now, &request, refused_of_all)
}

fn count_account_request(decisions: &mut SharedDecisions, job: &GatewayJob, shed: bool) {
    let Some(identity) = &job.identity else { return };
    let account = decisions.account_labels.label(&identity.account.account).to_owned();
    let result = if shed { "overloaded" } else { "admitted" };
    metrics::counter!(
        "hickoryspan_gateway_account_requests_total", "account" => account, "result" => result
    )
    .increment(1);
}
