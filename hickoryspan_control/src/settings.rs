//! Settings of the control daemon, from flags and environment variables.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use hickoryspan_core::control::raft::RaftSettings;
use hickoryspan_core::gateway::membership::members::MemberSettings;
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::http_server::HttpLimits;
use hickoryspan_runtime::pending_link::DEFAULT_HANDSHAKES;
use hickoryspan_runtime::process::{LogSettings, ProgramArguments, SettingsRequest};
use hickoryspan_runtime::settings::{SettingFaults, SettingValue, SettingsReader};

use crate::folder_setup::FolderRole;

/// Runs one control replica; each flag has an environment variable: --data-folder is HICKORYSPAN_DATA_FOLDER.
#[derive(Debug, Default, Options)]
pub struct ControlOptions {
    /// Whether to print the help text and exit.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Whether to print the version and exit.
    #[options(help = "print the version", no_short)]
    pub version: bool,
    /// Whether to check the settings and exit.
    #[options(help = "check the settings and exit", no_short)]
    pub check_settings: bool,
    /// Whether to print the settings and exit.
    #[options(help = "print the settings in force and exit", no_short)]
    pub print_settings: bool,
    /// Path of the folder for the durable state.
    #[options(help = "folder for the durable state (required)", no_short, meta = "FOLDER")]
    pub data_folder: Option<String>,
    /// Role for which to create the data folder; the process then exits.
    #[options(
        help = "create the data folder and exit: first for a new deployment, additional for a further replica",
        no_short,
        meta = "ROLE"
    )]
    pub initialize: Option<String>,
    /// Address for entries and other replicas.
    #[options(
        help = "address for entries and other replicas (default 127.0.0.1:7100)",
        no_short,
        meta = "IP:PORT"
    )]
    pub peer_address: Option<String>,
    /// Address for operators, targets and monitoring.
    #[options(
        help = "address for operators, targets and monitoring (default 127.0.0.1:7101)",
        no_short,
        meta = "IP:PORT"
    )]
    pub http_address: Option<String>,
    /// Path of the file with the shared credential.
    #[options(
        help = "file with the shared credential; or variable HICKORYSPAN_CREDENTIAL (required)",
        no_short,
        meta = "FILE"
    )]
    pub credential_file: Option<String>,
    /// Lowest level of the log lines that are written.
    #[options(help = "error, warn, info, debug or trace (default info)", no_short, meta = "LEVEL")]
    pub log_level: Option<String>,
    /// Format of the log lines.
    #[options(help = "text or json (default text)", no_short, meta = "FORMAT")]
    pub log_format: Option<String>,
    /// Maximum size of a request body in bytes.
    #[options(
        help = "largest request body in bytes, 1024 to 67108864 (default 8388608)",
        no_short,
        meta = "BYTES"
    )]
    pub max_body_bytes: Option<String>,
    /// Maximum number of concurrent HTTP connections.
    #[options(
        help = "HTTP connections at the same time, 1 to 65536 (default 4096)",
        no_short,
        meta = "COUNT"
    )]
    pub max_connections: Option<String>,
    /// Memory that the process may use.
    #[options(
        help = "memory of the process in bytes, of which callers may occupy a part, 16777216 or more (default 1073741824)",
        no_short,
        meta = "BYTES"
    )]
    pub memory_bytes: Option<String>,
    /// Maximum time to read a request.
    #[options(
        help = "time to read a request, 100ms to 1m (default 5s)",
        no_short,
        meta = "DURATION"
    )]
    pub read_time: Option<String>,
    /// Time that a stop leaves to requests in flight.
    #[options(
        help = "time that a stop leaves to requests in flight, 1s to 1h (default 30s)",
        no_short,
        meta = "DURATION"
    )]
    pub drain_time: Option<String>,
}

/// Validated settings of the control daemon.
#[derive(Clone, Debug)]
pub struct ControlDaemonSettings {
    /// Folder for the durable state.
    pub data_folder: PathBuf,
    /// If set, the program creates the data folder for this role and exits.
    pub initialize: Option<FolderRole>,
    /// Address for entries and other replicas.
    pub peer_address: SocketAddr,
    /// Address for operators, targets and monitoring.
    pub http_address: SocketAddr,
    /// The credential that all processes share.
    pub credential: SharedCredential,
    /// Limits of the HTTP port.
    pub limits: HttpLimits,
    /// Format and level of the log.
    pub logs: LogSettings,
    /// Seed of the random election timeouts. Taken from the operating system unless a test sets it.
    pub seed: Option<u64>,
    /// Settings for adjusting the replica set to the control hosts that report themselves. If `None`, operators change
    /// the replica set.
    pub members: Option<MemberSettings>,
    /// Timing and limits of log replication.
    pub raft: RaftSettings,
    /// Connections to the peer port that have not shown the credential yet.
    pub handshakes: usize,
}

const ADDRESS: &str =
    "an IP address of this host that others reach, and a port, such as 127.0.0.1:7100";
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const DEFAULT_BODY_BYTES: usize = 8 * 1024 * 1024;
const MIN_MEMORY_BYTES: usize = 16 * 1024 * 1024;
const DEFAULT_CONNECTIONS: usize = 4096;

impl ControlDaemonSettings {
    /// Reads and validates all settings. The error lists every invalid setting.
    pub fn read(
        options: &ControlOptions,
        mut reader: SettingsReader,
    ) -> Result<(Self, Vec<SettingValue>), SettingFaults> {
        let folder = reader.required::<PathBuf>(
            "data-folder",
            options.data_folder.as_deref(),
            "a folder on a disk that survives restarts",
            |folder| !folder.as_os_str().is_empty(),
        );
        let initialize = reader.optional(
            "initialize",
            options.initialize.as_deref(),
            "first or additional",
            |_| true,
        );
        let peer_address = read_address(
            &mut reader,
            "peer-address",
            options.peer_address.as_deref(),
            SocketAddr::from(([127, 0, 0, 1], 7100)),
        );
        let http_address = read_address(
            &mut reader,
            "http-address",
            options.http_address.as_deref(),
            SocketAddr::from(([127, 0, 0, 1], 7101)),
        );
        let credential = reader.credential(options.credential_file.as_deref());
        let logs = LogSettings::read(
            &mut reader,
            options.log_format.as_deref(),
            options.log_level.as_deref(),
        );
        let limits = read_limits(options, &mut reader);
        let values = reader.finish()?;
        let (Some(data_folder), Some(credential)) = (folder, credential) else {
            return Err(SettingFaults(Vec::new()));
        };
        let settings = Self {
            data_folder,
            initialize,
            peer_address,
            http_address,
            credential,
            limits,
            logs,
            seed: None,
            members: None,
            raft: RaftSettings::default(),
            handshakes: DEFAULT_HANDSHAKES,
        };
        Ok((settings, values))
    }
}

fn read_address(
    reader: &mut SettingsReader,
    flag: &str,
    given: Option<&str>,
    default: SocketAddr,
) -> SocketAddr {
    // Other processes receive this address and cannot connect to a wildcard address.
    let is_reachable = |address: &SocketAddr| !address.ip().is_unspecified();
    reader.with_default(flag, given, default, ADDRESS, is_reachable)
}

fn read_limits(options: &ControlOptions, reader: &mut SettingsReader) -> HttpLimits {
    let body_bytes = reader.with_default(
        "max-body-bytes",
        options.max_body_bytes.as_deref(),
        DEFAULT_BODY_BYTES,
        "a number from 1024 to 67108864",
        |bytes| (1024..=MAX_BODY_BYTES).contains(bytes),
    );
    let connections = reader.with_default(
        "max-connections",
        options.max_connections.as_deref(),
        DEFAULT_CONNECTIONS,
        "a number from 1 to 65536",
        |count| (1..=65536).contains(count),
    );
    let memory_bytes = reader.with_default(
        "memory-bytes",
        options.memory_bytes.as_deref(),
        HttpLimits::default().memory_bytes,
        "a number of 16777216 or more",
        |bytes| *bytes >= MIN_MEMORY_BYTES,
    );
    let read_time = reader.duration(
        "read-time",
        options.read_time.as_deref(),
        Duration::from_secs(5),
        Duration::from_millis(100)..=Duration::from_secs(60),
    );
    let drain_time = reader.duration(
        "drain-time",
        options.drain_time.as_deref(),
        Duration::from_secs(30),
        Duration::from_secs(1)..=Duration::from_secs(3600),
    );
    HttpLimits {
        body_bytes,
        connections,
        memory_bytes,
        read_time,
        drain_time,
        ..Default::default()
    }
}

impl ProgramArguments for ControlOptions {
    type Settings = ControlDaemonSettings;

    fn version_requested(&self) -> bool {
        self.version
    }

    fn settings_request(&self) -> SettingsRequest {
        SettingsRequest { check: self.check_settings, print: self.print_settings }
    }

    fn read(
        &self,
        reader: SettingsReader,
    ) -> Result<(Self::Settings, Vec<SettingValue>), SettingFaults> {
        ControlDaemonSettings::read(self, reader)
    }
}
