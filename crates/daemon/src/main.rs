//! Entry point of `cicadawickd`.

use std::path::PathBuf;
use std::process::ExitCode;

use daemon::{DaemonError, RunOptions};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Database proxy with session consistency.
        ///
        /// Exit codes: 0 after a graceful shutdown, 1 for other failures, 2 for a bad command line,
        /// 3 for bad settings, 4 for an address in use.
        cmd cicadawickd {
            /// Settings file, JSON with comments.
            optional --settings file: PathBuf
            /// Check the settings and exit.
            optional --check
            /// Listen on free ports instead of those of the settings; for tests and demos.
            optional --free-ports
            /// Write the line with the addresses to this file once the daemon is ready.
            optional --ready-file file: PathBuf
            /// Print the line with the addresses once the daemon is ready.
            optional --ready-stdout
            /// Print the version and exit.
            optional --version
        }
    }
}

const COMMAND_LINE_ERROR: u8 = 2;
const SETTINGS_ERROR: u8 = 3;
const ADDRESS_ERROR: u8 = 4;

fn main() -> ExitCode {
    let flags = match flags::Cicadawickd::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            println!("{error}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("cicadawickd: {error}");
            return ExitCode::from(COMMAND_LINE_ERROR);
        }
    };
    if flags.version {
        println!("cicadawickd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = flags.settings else {
        eprintln!("cicadawickd: flag is required: `--settings`");
        return ExitCode::from(COMMAND_LINE_ERROR);
    };
    let mut settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(messages) => {
            for message in messages {
                eprintln!("{message}");
            }
            return ExitCode::from(SETTINGS_ERROR);
        }
    };
    if flags.check {
        println!("{}: settings are valid", file.display());
        return ExitCode::SUCCESS;
    }
    if flags.free_ports {
        settings.caller_address.set_port(0);
        settings.peer_address.set_port(0);
        settings.admin_address.set_port(0);
    }
    if let Err(error) = daemon::start_logging(&settings.log_level) {
        eprintln!("cicadawickd: failed to start logging: {error}");
        return ExitCode::from(SETTINGS_ERROR);
    }
    match daemon::run(settings, run_options(flags.ready_file, flags.ready_stdout)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            match error {
                DaemonError::Listen { .. } => ExitCode::from(ADDRESS_ERROR),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn read_settings(file: &std::path::Path) -> Result<model::NodeSettings, Vec<String>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| vec![format!("cicadawickd: failed to read {name}: {error}")])?;
    config::parse_settings(&name, &text)
        .map_err(|errors| errors.iter().map(ToString::to_string).collect())
}

fn run_options(ready_file: Option<PathBuf>, ready_stdout: bool) -> RunOptions {
    let ready = move |addresses: daemon::ReadyAddresses, _| {
        if ready_stdout {
            println!("{addresses}");
        }
        if let Some(file) = ready_file
            && let Err(error) = write_atomically(&file, &format!("{addresses}\n"))
        {
            log::error!("failed to write {} error={error}", file.display());
        }
    };
    RunOptions { ready: Some(Box::new(ready)), handle_signals: true }
}

/// Writes a temporary file and renames it, so that a reader never sees a partial line.
fn write_atomically(file: &std::path::Path, text: &str) -> std::io::Result<()> {
    let partial = file.with_extension("partial");
    std::fs::write(&partial, text)?;
    std::fs::rename(&partial, file)
}
