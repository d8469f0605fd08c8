//! Tests with real entries, a real control host and scripted targets on loopback.

mod forwarding;
mod support;
mod wide_fan_out;
