//! Tests with real entries, a real control host and scripted targets on loopback.

mod accounts;
mod cold_targets;
mod common_start;
mod crash_sharing;
mod cut_requests;
mod endless_answers;
mod entry_lookups;
mod expected_work;
mod explanations;
mod fan_out_stops;
mod far_targets;
mod forwarding;
mod half_sent_heads;
mod invented_targets;
mod last_check;
mod odd_answers;
mod odd_requests;
mod planned_stop;
mod quotas;
mod scarce_connections;
mod scripted_peer;
mod statuses;
mod support;
mod target_limits;
mod target_notices;
mod wide_fan_out;
