//! Command line flags and environment variables of the `hickoryspan-entry` program.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use gumdrop::Options;
use hickoryspan_core::entry::connections::ConnectionSettings;
use hickoryspan_core::types::{ByteCount, IncarnationNumber};
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_server::HttpLimits;
use hickoryspan_runtime::process::{LogSettings, ProgramArguments, SettingsRequest};
use hickoryspan_runtime::settings::{SettingFaults, SettingValue, SettingsReader};

use crate::settings::EntryDaemonSettings;

/// Accepted range of the timeouts and intervals of single steps, such as opening a connection.
const STEP_TIME_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(10)..=Duration::from_secs(60);
/// Accepted range of the slow start time of targets. Zero disables slow start.
const SLOW_START_RANGE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(600);
/// Accepted range of the time for responses during a graceful shutdown.
const DRAIN_TIME_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(10)..=Duration::from_secs(600);
/// Minimum accepted limit of header bytes, required by the HTTP library.
const MIN_HEADER_BYTES: usize = 8192;
/// Maximum accepted limit of a target's answer, because one fan-out holds hundreds of answers in
/// memory.
const MAX_ANSWER_BYTES: ByteCount = ByteCount(64 * 1024 * 1024);

/// Every flag is also an environment variable: --some-flag is HICKORYSPAN_SOME_FLAG.
#[derive(Debug, Default, Options)]
pub struct EntryArguments {
    /// Whether to print the help text and exit.
    #[options(no_short, help = "print this help")]
    pub help: bool,
    /// Whether to print the version and exit.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Whether to exit after checking the settings.
    #[options(no_short, help = "check the settings and end")]
    pub check_settings: bool,
    /// Whether to print the effective settings and exit.
    #[options(no_short, help = "print the settings in force and end")]
    pub print_settings: bool,
    #[options(no_short, help = "name of the entry, stable over restarts", meta = "NAME")]
    entry_id: Option<String>,
    #[options(no_short, help = "start of the process (default: the clock)", meta = "NUMBER")]
    incarnation: Option<String>,
    #[options(no_short, help = "failure domain of the host", meta = "NAME")]
    failure_domain: Option<String>,
    #[options(no_short, help = "address that callers connect to", meta = "ADDRESS")]
    caller_address: Option<String>,
    #[options(no_short, help = "address that callers are told, if it differs", meta = "ADDRESS")]
    advertised_address: Option<String>,
    #[options(no_short, help = "address of metrics and health", meta = "ADDRESS")]
    admin_address: Option<String>,
    #[options(no_short, help = "control replicas, comma-separated", meta = "ADDRESSES")]
    control_addresses: Option<String>,
    #[options(no_short, help = "file with the shared credential", meta = "FILE")]
    credential_file: Option<String>,
    #[options(no_short, help = "bytes of a request's headers", meta = "BYTES")]
    header_bytes: Option<String>,
    #[options(no_short, help = "bytes of a request's body", meta = "BYTES")]
    body_bytes: Option<String>,
    #[options(
        no_short,
        help = "memory of the process in bytes, of which callers may occupy a part",
        meta = "BYTES"
    )]
    memory_bytes: Option<String>,
    #[options(no_short, help = "connections of callers at the same time", meta = "COUNT")]
    caller_connections: Option<String>,
    #[options(no_short, help = "requests on one HTTP/2 connection", meta = "COUNT")]
    caller_streams: Option<String>,
    #[options(no_short, help = "requests of callers at the same time", meta = "COUNT")]
    caller_requests: Option<String>,
    #[options(no_short, help = "time for headers, and again for the body", meta = "TIME")]
    read_time: Option<String>,
    #[options(no_short, help = "time for responses after a planned stop", meta = "TIME")]
    drain_time: Option<String>,
    #[options(no_short, help = "bytes of a target's answer", meta = "BYTES")]
    answer_bytes: Option<String>,
    #[options(no_short, help = "time for the answer to a cancellation", meta = "TIME")]
    cancel_time: Option<String>,
    #[options(no_short, help = "time between renewals of the ordinal's lease", meta = "TIME")]
    renewal_interval: Option<String>,
    #[options(no_short, help = "whether load and latency decide between targets", meta = "BOOL")]
    load_aware: Option<String>,
    #[options(
        no_short,
        help = "whether targets of this failure domain are preferred",
        meta = "BOOL"
    )]
    prefer_home: Option<String>,
    #[options(
        no_short,
        help = "time until a new target gets its full part of the load",
        meta = "TIME"
    )]
    slow_start: Option<String>,
    #[options(no_short, help = "whether unhealthy targets are ejected", meta = "BOOL")]
    outlier_ejection: Option<String>,
    #[options(no_short, help = "whether slow sub-requests are hedged", meta = "BOOL")]
    hedging: Option<String>,
    #[options(no_short, help = "quantile of latency after which a hedge is sent", meta = "NUMBER")]
    hedge_quantile: Option<String>,
    #[options(no_short, help = "whether hedges and retries are limited", meta = "BOOL")]
    budgets: Option<String>,
    #[options(no_short, help = "hedges and retries for each first attempt", meta = "NUMBER")]
    budget_ratio: Option<String>,
    #[options(no_short, help = "idle connections kept to each target", meta = "COUNT")]
    warm_connections: Option<String>,
    #[options(no_short, help = "connections opened to one target per second", meta = "NUMBER")]
    opens_per_second: Option<String>,
    #[options(no_short, help = "time for opening a connection to a target", meta = "TIME")]
    connect_time: Option<String>,
    #[options(no_short, help = "shortest silence that makes a connection suspect", meta = "TIME")]
    silence_floor: Option<String>,
    #[options(no_short, help = "multiple of the 99th percentile that does so", meta = "NUMBER")]
    silence_factor: Option<String>,
    #[options(no_short, help = "seed of random choices (default: random)", meta = "NUMBER")]
    seed: Option<String>,
    #[options(no_short, help = "text or json", meta = "FORMAT")]
    log_format: Option<String>,
    #[options(no_short, help = "error, warn, info, debug or trace", meta = "LEVEL")]
    log_level: Option<String>,
}

/// Settings of the `hickoryspan-entry` program.
#[derive(Clone, Debug)]
pub struct EntryProgram {
    /// Settings of the daemon.
    pub daemon: EntryDaemonSettings,
    /// Settings of the log.
    pub logs: LogSettings,
}

impl EntryArguments {
    /// Returns whether to check or print the settings instead of starting the daemon.
    pub fn settings_request(&self) -> SettingsRequest {
        SettingsRequest { check: self.check_settings, print: self.print_settings }
    }

    /// Reads all settings. The error lists every missing or invalid setting.
    pub fn read(
        &self,
        mut reader: SettingsReader,
    ) -> Result<(EntryProgram, Vec<SettingValue>), SettingFaults> {
        let (format, level) = (self.log_format.as_deref(), self.log_level.as_deref());
        let logs = LogSettings::read(&mut reader, format, level);
        let credential = reader.credential(self.credential_file.as_deref());
        // If the credential is missing, the reader has recorded a fault and `finish` fails, so the
        // placeholder is never returned.
        let credential = credential.unwrap_or_else(|| {
            SharedCredential::new("no-credential-was-given").expect("the placeholder is valid")
        });
        let mut daemon = EntryDaemonSettings::with_credential(credential);
        self.read_identity(&mut reader, &mut daemon);
        self.read_limits(&mut reader, &mut daemon);
        self.read_target_client(&mut reader, &mut daemon);
        self.read_policies(&mut reader, &mut daemon);
        let accepted = "a whole number";
        daemon.seed = reader.optional("seed", self.seed.as_deref(), accepted, |_| true);
        let values = reader.finish()?;
        Ok((EntryProgram { daemon, logs }, values))
    }

    fn read_identity(&self, reader: &mut SettingsReader, daemon: &mut EntryDaemonSettings) {
        let name = "1 to 128 ASCII letters, digits and -_.:/";
        let address = "an address with a port, such as 127.0.0.1:7100";
        let given = self.entry_id.as_deref();
        if let Some(value) = reader.required("entry-id", given, name, |_| true) {
            daemon.entry = value;
        }
        let given = self.incarnation.as_deref();
        let positive = |number: &IncarnationNumber| number.0 > 0;
        daemon.incarnation =
            reader.optional("incarnation", given, "a whole number of 1 or more", positive);
        let given = self.failure_domain.as_deref();
        if let Some(value) = reader.required("failure-domain", given, name, |_| true) {
            daemon.failure_domain = value;
        }
        let given = self.caller_address.as_deref();
        if let Some(value) = reader.required("caller-address", given, address, |_| true) {
            daemon.caller_address = value;
        }
        let given = self.admin_address.as_deref();
        if let Some(value) = reader.required("admin-address", given, address, |_| true) {
            daemon.admin_address = value;
        }
        let reachable = |value: &SocketAddr| value.port() != 0 && !value.ip().is_unspecified();
        let given = self.advertised_address.as_deref();
        daemon.advertised_address =
            reader.optional("advertised-address", given, address, reachable);
        if daemon.advertised_address.is_none() && daemon.caller_address.ip().is_unspecified() {
            let accepted = "an address that callers can reach, as --caller-address is unspecified";
            reader.reject("advertised-address", "", accepted);
        }
        let given = self.control_addresses.as_deref();
        daemon.control_addresses =
            reader.list("control-addresses", given, "comma-separated addresses");
        if daemon.control_addresses.is_empty() {
            reader.reject("control-addresses", "", "at least one address");
        }
    }

    fn read_limits(&self, reader: &mut SettingsReader, daemon: &mut EntryDaemonSettings) {
        let positive = "a whole number of 1 or more";
        let check = |count: &usize| *count > 0;
        let defaults = daemon.caller_limits.clone();
        let given = self.header_bytes.as_deref();
        let header_bytes = reader.with_default(
            "header-bytes",
            given,
            defaults.header_bytes,
            "a whole number of 8192 or more",
            |bytes: &usize| *bytes >= MIN_HEADER_BYTES,
        );
        let given = self.body_bytes.as_deref();
        let body_bytes =
            reader.with_default("body-bytes", given, defaults.body_bytes, positive, check);
        let given = self.caller_connections.as_deref();
        let connections =
            reader.with_default("caller-connections", given, defaults.connections, positive, check);
        let given = self.memory_bytes.as_deref();
        let memory_bytes =
            reader.with_default("memory-bytes", given, defaults.memory_bytes, positive, check);
        let given = self.caller_streams.as_deref();
        let streams =
            reader.with_default("caller-streams", given, defaults.streams, positive, |count| {
                *count > 0
            });
        let given = self.read_time.as_deref();
        let read_time = reader.duration("read-time", given, defaults.read_time, STEP_TIME_RANGE);
        let given = self.drain_time.as_deref();
        let drain_time =
            reader.duration("drain-time", given, defaults.drain_time, DRAIN_TIME_RANGE);
        daemon.caller_limits = HttpLimits {
            header_bytes,
            body_bytes,
            connections,
            memory_bytes,
            streams,
            http2: true,
            read_time,
            drain_time,
        };
        let given = self.caller_requests.as_deref();
        daemon.caller_requests =
            reader.with_default("caller-requests", given, daemon.caller_requests, positive, check);
    }

    fn read_target_client(&self, reader: &mut SettingsReader, daemon: &mut EntryDaemonSettings) {
        let client = &mut daemon.target_client;
        let given = self.answer_bytes.as_deref();
        let check = |bytes: &ByteCount| (ByteCount(1)..=MAX_ANSWER_BYTES).contains(bytes);
        let accepted = "a whole number from 1 to 67108864";
        client.answer_bytes =
            reader.with_default("answer-bytes", given, client.answer_bytes, accepted, check);
        let given = self.cancel_time.as_deref();
        client.cancel_time =
            reader.duration("cancel-time", given, client.cancel_time, STEP_TIME_RANGE);
    }

    fn read_policies(&self, reader: &mut SettingsReader, daemon: &mut EntryDaemonSettings) {
        let boolean = "true or false";
        let machine = &mut daemon.machine;
        let interval = &mut machine.session.renewal_interval;
        let given = self.renewal_interval.as_deref();
        *interval = reader.duration("renewal-interval", given, *interval, STEP_TIME_RANGE);
        let engine = &mut machine.engine;
        let routing = &mut engine.routing;
        let given = self.load_aware.as_deref();
        routing.load_aware =
            reader.with_default("load-aware", given, routing.load_aware, boolean, |_| true);
        let given = self.prefer_home.as_deref();
        routing.prefer_home =
            reader.with_default("prefer-home", given, routing.prefer_home, boolean, |_| true);
        let given = self.slow_start.as_deref();
        routing.slow_start =
            reader.duration("slow-start", given, routing.slow_start, SLOW_START_RANGE);
        let enabled = &mut engine.outliers.enabled;
        let given = self.outlier_ejection.as_deref();
        *enabled = reader.with_default("outlier-ejection", given, *enabled, boolean, |_| true);
        let enabled = &mut engine.hedging.enabled;
        let given = self.hedging.as_deref();
        *enabled = reader.with_default("hedging", given, *enabled, boolean, |_| true);
        let quantile = &mut engine.latency.hedge_quantile;
        let given = self.hedge_quantile.as_deref();
        let accepted = "a number from 0.5 to 0.999";
        *quantile = reader.with_default("hedge-quantile", given, *quantile, accepted, |value| {
            (0.5..=0.999).contains(value)
        });
        let budgets = &mut engine.budgets;
        let given = self.budgets.as_deref();
        budgets.enabled = reader.with_default("budgets", given, budgets.enabled, boolean, |_| true);
        let given = self.budget_ratio.as_deref();
        let accepted = "a number from 0 to 1";
        let check = |value: &f64| (0.0..=1.0).contains(value);
        budgets.ratio = reader.with_default("budget-ratio", given, budgets.ratio, accepted, check);
        self.read_connections(reader, &mut engine.connections);
    }

    fn read_connections(&self, reader: &mut SettingsReader, connections: &mut ConnectionSettings) {
        let given = self.warm_connections.as_deref();
        let accepted = "a whole number from 1 to 1000";
        let check = |count: &u32| (1..=1000).contains(count);
        connections.warm =
            reader.with_default("warm-connections", given, connections.warm, accepted, check);
        let given = self.opens_per_second.as_deref();
        let accepted = "a number from 0.1 to 1000";
        let check = |rate: &f64| (0.1..=1000.0).contains(rate);
        connections.opens_per_second = reader.with_default(
            "opens-per-second",
            given,
            connections.opens_per_second,
            accepted,
            check,
        );
        let given = self.connect_time.as_deref();
        connections.open_timeout =
            reader.duration("connect-time", given, connections.open_timeout, STEP_TIME_RANGE);
        let given = self.silence_floor.as_deref();
        connections.min_stall_timeout =
            reader.duration("silence-floor", given, connections.min_stall_timeout, STEP_TIME_RANGE);
        let given = self.silence_factor.as_deref();
        let accepted = "a number from 1 to 100";
        let check = |factor: &f64| (1.0..=100.0).contains(factor);
        connections.stall_factor =
            reader.with_default("silence-factor", given, connections.stall_factor, accepted, check);
    }
}

impl ProgramArguments for EntryArguments {
    type Settings = EntryProgram;

    fn version_requested(&self) -> bool {
        self.version
    }

    fn settings_request(&self) -> SettingsRequest {
        EntryArguments::settings_request(self)
    }

    fn read(
        &self,
        reader: SettingsReader,
    ) -> Result<(Self::Settings, Vec<SettingValue>), SettingFaults> {
        EntryArguments::read(self, reader)
    }
}
