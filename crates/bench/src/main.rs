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
        /// One database shared by nine proxies in three ways.
        cmd share {
            /// Seed of arrivals and service times; 1 if absent.
            optional --seed seed: u64
        }
        /// Processor time of single decisions.
        cmd decision {
            /// Decisions for each point; 1,000,000 if absent.
            optional --turns turns: usize
        }
    }
}

fn main() -> ExitCode {
    let flags = match Bench::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let table = match flags.subcommand {
        BenchCmd::Rank(flags) => bench::rank::render_table(flags.seed.unwrap_or(1)),
        BenchCmd::Share(flags) => bench::share::render_table(flags.seed.unwrap_or(1)),
        BenchCmd::Decision(flags) => {
            bench::decision::render_table(flags.turns.unwrap_or(1_000_000).max(1_000))
        }
    };
    print!("{table}");
    ExitCode::SUCCESS
}
