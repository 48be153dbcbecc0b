//! `cicadawick`: the operators' command-line program.
//!
//! The configuration is changed by compare-and-swap in the platform's key-value service. Running nodes
//! are queried through their HTTP interface. Every command collects its output as text or JSON and
//! returns an error kind that determines the exit code.

mod change;
mod error;
mod flags;
mod keys;
mod matching;
mod node;
mod remote;
mod text;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use platform::PlatformClient;

pub use crate::error::{CommandError, ErrorKind};
use crate::flags::{CicadawickCmd, KeysCmd, RolloutCmd};
use crate::remote::NodeQuery;

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Values that a command takes from the environment.
#[derive(Clone, Debug, Default)]
pub struct CommandEnvironment {
    /// Value of the variable CICADAWICK_PLATFORM.
    pub platform: Option<String>,
    /// Name of the operating system user, the default author of a change.
    pub user: Option<String>,
}

impl CommandEnvironment {
    /// Reads the environment variables of this process.
    pub fn from_process() -> Self {
        CommandEnvironment {
            platform: std::env::var("CICADAWICK_PLATFORM").ok().filter(|text| !text.is_empty()),
            user: std::env::var("USER").ok().filter(|text| !text.is_empty()),
        }
    }
}

/// Output of a command.
#[derive(Debug, Default)]
pub struct CommandOutput {
    /// Text for standard output.
    pub text: String,
    /// Text for standard error.
    pub notes: String,
}

impl CommandOutput {
    /// Adds a line to standard output.
    pub(crate) fn line(&mut self, line: impl AsRef<str>) {
        self.text.push_str(line.as_ref());
        self.text.push('\n');
    }

    /// Adds a line to standard error.
    pub(crate) fn note(&mut self, line: impl AsRef<str>) {
        self.notes.push_str(line.as_ref());
        self.notes.push('\n');
    }

    /// Adds a value as indented JSON to standard output.
    pub(crate) fn json(&mut self, value: &serde_json::Value) {
        self.line(format!("{value:#}"));
    }
}

/// Runs a command. `arguments` does not include the program's name.
///
/// # Errors
///
/// Fails with the kind that determines the exit code. `output` holds what was collected until then.
///
/// ```
/// let mut output = cli::CommandOutput::default();
/// let arguments = ["check", "--example", "fleet"].map(Into::into).to_vec();
/// cli::run(arguments, &cli::CommandEnvironment::default(), &mut output)?;
/// assert!(output.text.contains("\"clusters\""));
/// # Ok::<(), cli::CommandError>(())
/// ```
pub fn run(
    arguments: Vec<OsString>,
    environment: &CommandEnvironment,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let flags = match flags::Cicadawick::from_vec(arguments) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            output.line(error.to_string().trim_end());
            return Ok(());
        }
        Err(error) => {
            let hint = "run `cicadawick --help` for all commands";
            return Err(CommandError::new(ErrorKind::Usage, format!("{error}; {hint}")));
        }
    };
    let platform = || -> Result<PlatformClient, CommandError> {
        let address = match (flags.platform, &environment.platform) {
            (Some(address), _) => address,
            (None, Some(text)) => text.parse::<SocketAddr>().map_err(|_| {
                let message =
                    format!("CICADAWICK_PLATFORM: expected an IP address and port, found {text:?}");
                CommandError::new(ErrorKind::Usage, message)
            })?,
            (None, None) => {
                let message = "the platform's address is missing: give --platform or set \
                    CICADAWICK_PLATFORM";
                return Err(CommandError::new(ErrorKind::Usage, message));
            }
        };
        Ok(PlatformClient::new(address, PLATFORM_TIMEOUT))
    };
    let json = flags.json;
    match flags.subcommand {
        CicadawickCmd::Check(check) => change::check(&check, json, output),
        CicadawickCmd::Apply(apply) => {
            let author = apply.author.clone().or_else(|| environment.user.clone());
            let author = author.unwrap_or_else(|| "unknown".to_string());
            change::apply(&apply, &author, &platform, json, output)
        }
        CicadawickCmd::Get(get) => change::get(&get, &platform()?, json, output),
        CicadawickCmd::Diff(diff) => change::diff(&diff, &platform()?, json, output),
        CicadawickCmd::History(_) => change::history(&platform()?, json, output),
        CicadawickCmd::Keys(keys) => match keys.subcommand {
            KeysCmd::Rotate(_) => keys::rotate(&platform()?, json, output),
        },
        CicadawickCmd::Match(arguments) => {
            if arguments.all && arguments.node.is_none() {
                let message = "match: --all needs --node, which lists the members";
                return Err(CommandError::new(ErrorKind::Usage, message));
            }
            let query = arguments.node.map(|node| NodeQuery::new(node, arguments.all));
            matching::show_matches(&arguments.selector, &platform()?, query.as_ref(), json, output)
        }
        CicadawickCmd::Rollout(rollout) => match rollout.subcommand {
            RolloutCmd::Status(status) => {
                let has_address = flags.platform.is_some() || environment.platform.is_some();
                let platform = if has_address { Some(platform()?) } else { None };
                let query = NodeQuery::new(status.node, status.all);
                node::rollout(&query, platform.as_ref(), json, output)
            }
        },
        CicadawickCmd::Top(top) => {
            let query = NodeQuery::new(top.node, top.all);
            node::top(&query, top.measure.as_deref(), top.rows, json, output)
        }
        CicadawickCmd::Explain(explain) => node::explain(&explain, json, output),
        CicadawickCmd::Dump(dump) => node::dump(&NodeQuery::new(dump.node, dump.all), output),
        CicadawickCmd::Drain(drain) => node::drain(drain.node, json, output),
    }
}
