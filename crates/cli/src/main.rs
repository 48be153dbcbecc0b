//! Entry point of `cicadawick`.

use std::io::Write;
use std::process::ExitCode;

fn main() -> ExitCode {
    let environment = cli::CommandEnvironment::from_process();
    let mut output = cli::CommandOutput::default();
    let result = cli::run(std::env::args_os().skip(1).collect(), &environment, &mut output);
    // A closed pipe, as with `| head`, is not an error.
    let _ = std::io::stdout().write_all(output.text.as_bytes());
    let _ = std::io::stderr().write_all(output.notes.as_bytes());
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            if !error.message.is_empty() {
                let _ = writeln!(std::io::stderr(), "error: {error}");
            }
            ExitCode::from(error.kind.exit_code())
        }
    }
}
