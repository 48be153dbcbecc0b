//! Prints the results of experiments and benchmarks.

use std::process::ExitCode;

xflags::xflags! {
    /// Experiments in virtual time and capacity slopes.
    cmd bench {
        /// Service of the ranks under overload.
        cmd rank {
            /// Seed of arrivals and service times; 1 if absent.
            optional --seed seed: u64
        }
    }
}

fn main() -> ExitCode {
    let flags = match Bench::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match flags.subcommand {
        BenchCmd::Rank(flags) => print!("{}", bench::rank::render_table(flags.seed.unwrap_or(1))),
    }
    ExitCode::SUCCESS
}
