//! Tests with real entries, a real control host and scripted targets on loopback.

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
mod last_check;
mod odd_answers;
mod planned_stop;
mod scripted_peer;
mod support;
mod target_limits;
mod target_notices;
mod wide_fan_out;
