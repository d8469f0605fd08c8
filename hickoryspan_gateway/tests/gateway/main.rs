//! Real entries, control hosts and scripted targets on loopback.

mod forwarding;
mod support;
mod wide_fan_out;
