//! The `hickoryspan-ctl` binary.

use std::process::ExitCode;

use hickoryspan_ctl::arguments::parse_arguments;
use hickoryspan_ctl::{CommandConsole, run};
use hickoryspan_runtime::settings::SettingsReader;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let raw_arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match parse_arguments(&raw_arguments) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let mut console =
        CommandConsole { stdout: Box::new(std::io::stdout()), stderr: Box::new(std::io::stderr()) };
    run(arguments, SettingsReader::from_environment(), &mut console).await.into()
}
