//! Command-line flags and environment variables of `hickoryspan-target`.

use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use hickoryspan_core::types::{ByteCount, ConnectionCount, SlotCount};
use hickoryspan_runtime::process::{LogSettings, ProgramArguments, SettingsRequest};
use hickoryspan_runtime::settings::{SettingFaults, SettingValue, SettingsReader};

use crate::settings::{PartitionText, TargetSettings};

/// Upper bound of every duration setting.
const MAX_DURATION: Duration = Duration::from_secs(600);
const ANY_DURATION: std::ops::RangeInclusive<Duration> = Duration::ZERO..=MAX_DURATION;
const POSITIVE_DURATION: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(1)..=MAX_DURATION;

/// Every flag is also an environment variable: --some-flag is HICKORYSPAN_SOME_FLAG.
#[derive(Debug, Default, Options)]
pub struct TargetArguments {
    /// Prints the help text and exits.
    #[options(no_short, help = "print this help")]
    pub help: bool,
    /// Prints the version and exits.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Validates the settings and exits.
    #[options(no_short, help = "check the settings and end")]
    pub check_settings: bool,
    /// Prints the effective settings and exits.
    #[options(no_short, help = "print the settings in force and end")]
    pub print_settings: bool,
    #[options(no_short, help = "name of the target", meta = "NAME")]
    target_id: Option<String>,
    #[options(no_short, help = "tenant that runs it", meta = "NAME")]
    tenant: Option<String>,
    #[options(no_short, help = "service that it implements", meta = "NAME")]
    service: Option<String>,
    #[options(no_short, help = "failure domain of the host", meta = "NAME")]
    failure_domain: Option<String>,
    #[options(no_short, help = "address to listen on", meta = "ADDRESS")]
    listen_address: Option<String>,
    #[options(no_short, help = "announced address, if it differs", meta = "ADDRESS")]
    advertised_address: Option<String>,
    #[options(no_short, help = "control replicas, comma-separated", meta = "ADDRESSES")]
    control_addresses: Option<String>,
    #[options(no_short, help = "file with the shared credential", meta = "FILE")]
    credential_file: Option<String>,
    #[options(no_short, help = "requests that run at the same time", meta = "COUNT")]
    slots: Option<String>,
    #[options(no_short, help = "requests that may wait for a slot", meta = "COUNT")]
    queue: Option<String>,
    #[options(no_short, help = "connections accepted", meta = "COUNT")]
    connections: Option<String>,
    #[options(no_short, help = "list of snapshot=shard=range=documents", meta = "PARTITIONS")]
    partitions: Option<String>,
    #[options(no_short, help = "median service time", meta = "TIME")]
    service_time: Option<String>,
    #[options(no_short, help = "deviation of the service time's logarithm", meta = "NUMBER")]
    service_spread: Option<String>,
    #[options(no_short, help = "seed of the service times", meta = "NUMBER")]
    seed: Option<String>,
    #[options(no_short, help = "delay of a new connection", meta = "TIME")]
    connection_cost: Option<String>,
    #[options(no_short, help = "time during which a started target is slower", meta = "TIME")]
    cold_time: Option<String>,
    #[options(
        no_short,
        help = "factor on the service time right after the start",
        meta = "NUMBER"
    )]
    cold_factor: Option<String>,
    #[options(no_short, help = "most hits of a query in a partition", meta = "COUNT")]
    max_hits: Option<String>,
    #[options(no_short, help = "longest accepted body", meta = "BYTES")]
    body_bytes: Option<String>,
    #[options(no_short, help = "time for the body of a request", meta = "TIME")]
    read_time: Option<String>,
    #[options(no_short, help = "time between announcements", meta = "TIME")]
    renewal: Option<String>,
    #[options(no_short, help = "whether replies carry the load report", meta = "BOOL")]
    reports_load: Option<String>,
    #[options(no_short, help = "whether POST /v1/faults is served", meta = "BOOL")]
    allow_faults: Option<String>,
    #[options(no_short, help = "time between a crash and the restart", meta = "TIME")]
    restart_time: Option<String>,
    #[options(no_short, help = "time that a stop leaves to requests", meta = "TIME")]
    drain_time: Option<String>,
    #[options(no_short, help = "runs kept in the record", meta = "COUNT")]
    record_limit: Option<String>,
    #[options(no_short, help = "text or json", meta = "FORMAT")]
    log_format: Option<String>,
    #[options(no_short, help = "error, warn, info, debug or trace", meta = "LEVEL")]
    log_level: Option<String>,
}

/// Validated settings of the program.
#[derive(Clone, Debug)]
pub struct TargetProgram {
    /// Settings of the stand-in target.
    pub target: TargetSettings,
    /// Log format and log level.
    pub logs: LogSettings,
}

impl TargetArguments {
    /// Returns whether to validate or print the settings instead of starting the target.
    pub fn settings_request(&self) -> SettingsRequest {
        SettingsRequest { check: self.check_settings, print: self.print_settings }
    }

    /// Reads and validates all settings.
    ///
    /// # Errors
    ///
    /// Lists every invalid setting.
    pub fn read(
        &self,
        mut reader: SettingsReader,
    ) -> Result<(TargetProgram, Vec<SettingValue>), SettingFaults> {
        let logs =
            LogSettings::read(&mut reader, self.log_format.as_deref(), self.log_level.as_deref());
        let mut target = TargetSettings::default();
        self.read_identity(&mut reader, &mut target);
        self.read_capacity(&mut reader, &mut target);
        self.read_timing(&mut reader, &mut target);
        let values = reader.finish()?;
        Ok((TargetProgram { target, logs }, values))
    }

    fn read_identity(&self, reader: &mut SettingsReader, target: &mut TargetSettings) {
        let name = "1 to 128 ASCII letters, digits and -_.:/";
        let address = "an address with a port, such as 127.0.0.1:7300";
        let argument = self.target_id.as_deref();
        if let Some(value) = reader.required("target-id", argument, name, |_| true) {
            target.target = value;
        }
        if let Some(value) = reader.required("tenant", self.tenant.as_deref(), name, |_| true) {
            target.tenant = value;
        }
        if let Some(value) = reader.required("service", self.service.as_deref(), name, |_| true) {
            target.service = value;
        }
        let argument = self.failure_domain.as_deref();
        if let Some(value) = reader.required("failure-domain", argument, name, |_| true) {
            target.failure_domain = value;
        }
        let argument = self.listen_address.as_deref();
        if let Some(value) = reader.required("listen-address", argument, address, |_| true) {
            target.listen_address = value;
        }
        let argument = self.advertised_address.as_deref();
        target.advertised_address =
            reader.optional("advertised-address", argument, address, |value: &SocketAddr| {
                value.port() != 0 && !value.ip().is_unspecified()
            });
        if target.advertised_address.is_none() && target.listen_address.ip().is_unspecified() {
            let accepted = "an address that others can reach, as --listen-address is unspecified";
            reader.reject("advertised-address", "", accepted);
        }
        let argument = self.control_addresses.as_deref();
        target.control_addresses =
            reader.list("control-addresses", argument, "comma-separated addresses");
        if target.control_addresses.is_empty() {
            reader.reject("control-addresses", "", "at least one address");
        }
        target.credential = reader.credential(self.credential_file.as_deref());
        let accepted = "comma-separated snapshot=shard=first-last=documents";
        let partitions: Vec<PartitionText> =
            reader.list("partitions", self.partitions.as_deref(), accepted);
        target.partitions = partitions.into_iter().map(|text| text.0).collect();
    }

    fn read_capacity(&self, reader: &mut SettingsReader, target: &mut TargetSettings) {
        let positive = "a whole number of 1 or more";
        let whole = "a whole number";
        let argument = self.slots.as_deref();
        target.slots = reader
            .with_default("slots", argument, target.slots, positive, |slots| *slots > SlotCount(0));
        target.queue =
            reader.with_default("queue", self.queue.as_deref(), target.queue, whole, |_| true);
        let argument = self.connections.as_deref();
        let check = |count: &ConnectionCount| *count > ConnectionCount(0);
        target.connections =
            reader.with_default("connections", argument, target.connections, positive, check);
        let argument = self.max_hits.as_deref();
        target.max_hits =
            reader.with_default("max-hits", argument, target.max_hits, whole, |_| true);
        let argument = self.body_bytes.as_deref();
        let check = |bytes: &ByteCount| *bytes > ByteCount(0);
        target.body_bytes =
            reader.with_default("body-bytes", argument, target.body_bytes, positive, check);
        let argument = self.record_limit.as_deref();
        let check = |limit: &usize| *limit > 0;
        target.record_limit =
            reader.with_default("record-limit", argument, target.record_limit, positive, check);
        let argument = self.reports_load.as_deref();
        let boolean = "true or false";
        target.reports_load =
            reader.with_default("reports-load", argument, target.reports_load, boolean, |_| true);
        let argument = self.allow_faults.as_deref();
        target.allow_faults =
            reader.with_default("allow-faults", argument, target.allow_faults, boolean, |_| true);
    }

    fn read_timing(&self, reader: &mut SettingsReader, target: &mut TargetSettings) {
        let argument = self.service_time.as_deref();
        target.service_time =
            reader.duration("service-time", argument, target.service_time, ANY_DURATION);
        let argument = self.service_spread.as_deref();
        let check = |value: &f64| (0.0..=5.0).contains(value);
        let accepted = "a number from 0 to 5";
        target.service_spread =
            reader.with_default("service-spread", argument, target.service_spread, accepted, check);
        let argument = self.seed.as_deref();
        target.seed =
            reader.with_default("seed", argument, target.seed, "a whole number", |_| true);
        let argument = self.connection_cost.as_deref();
        target.connection_cost =
            reader.duration("connection-cost", argument, target.connection_cost, ANY_DURATION);
        let argument = self.cold_time.as_deref();
        target.cold_time = reader.duration("cold-time", argument, target.cold_time, ANY_DURATION);
        let argument = self.cold_factor.as_deref();
        let check = |value: &f64| (1.0..=1000.0).contains(value);
        let accepted = "a number from 1 to 1000";
        target.cold_factor =
            reader.with_default("cold-factor", argument, target.cold_factor, accepted, check);
        let argument = self.read_time.as_deref();
        target.read_time =
            reader.duration("read-time", argument, target.read_time, POSITIVE_DURATION);
        let argument = self.renewal.as_deref();
        target.renewal = reader.duration("renewal", argument, target.renewal, POSITIVE_DURATION);
        let argument = self.restart_time.as_deref();
        target.restart_time =
            reader.duration("restart-time", argument, target.restart_time, ANY_DURATION);
        let argument = self.drain_time.as_deref();
        target.drain_time =
            reader.duration("drain-time", argument, target.drain_time, ANY_DURATION);
    }
}

impl ProgramArguments for TargetArguments {
    type Settings = TargetProgram;

    fn version_requested(&self) -> bool {
        self.version
    }

    fn settings_request(&self) -> SettingsRequest {
        TargetArguments::settings_request(self)
    }

    fn read(
        &self,
        reader: SettingsReader,
    ) -> Result<(Self::Settings, Vec<SettingValue>), SettingFaults> {
        TargetArguments::read(self, reader)
    }
}
