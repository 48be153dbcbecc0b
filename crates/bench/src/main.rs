//! Prints the results of experiments and benchmarks.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: bench::meter::CountingAllocator = bench::meter::CountingAllocator;

xflags::xflags! {
    /// Experiments in virtual time and capacity slopes.
    cmd bench {
        /// Service of each rank under overload.
        cmd rank {
            /// Seed of arrivals and service times; 1 if absent.
            optional --seed seed: u64
        }
        /// Three designs in which nine proxies share one database.
        cmd share {
            /// Seed of arrivals and service times; 1 if absent.
            optional --seed seed: u64
        }
        /// Processor time of single decisions.
        cmd decision {
            /// Decisions for each point; 1,000,000 if absent.
            optional --turns turns: usize
        }
        /// Messages, bytes, allocations and processor time that one node needs for control.
        cmd control {}
        /// Latency, throughput and memory of a daemon, compared with the database alone.
        cmd overhead {
            /// Length of each load in seconds; 1 if absent.
            optional --seconds seconds: f64
            /// Skip the measurement of idle connections.
            optional --no-idle
        }
    }
}

fn main() -> ExitCode {
    let flags = match Bench::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let result = match flags.subcommand {
        BenchCmd::Rank(flags) => {
            print!("{}", bench::rank::render_table(flags.seed.unwrap_or(1)));
            Ok(())
        }
        BenchCmd::Share(flags) => {
            print!("{}", bench::share::render_table(flags.seed.unwrap_or(1)));
            Ok(())
        }
        BenchCmd::Decision(flags) => {
            let turns = flags.turns.unwrap_or(1_000_000).max(1_000);
            print!("{}", bench::decision::render_table(turns));
            Ok(())
        }
        BenchCmd::Control(_) => bench::control::render_table().map(|table| print!("{table}")),
        BenchCmd::Overhead(flags) => {
            bench::overhead::run(flags.seconds.unwrap_or(1.0), !flags.no_idle)
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}
