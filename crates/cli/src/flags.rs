//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Changes the configuration of a cicadawick fleet and asks its nodes.
    ///
    /// Exit codes: 0 ok, 1 failed, 2 usage, 3 invalid input, 4 conflict, 5 platform or node unreachable.
    cmd cicadawick {
        /// IP address and port of the platform. Default: the variable CICADAWICK_PLATFORM.
        optional --platform address: SocketAddr
        /// Print JSON instead of tables.
        optional --json

        /// Check a file without a platform.
        cmd check {
            /// File to check, JSON with comments.
            optional file: PathBuf
            /// The file holds the settings of a node, not the configuration.
            optional --settings
            /// Print a documented example instead: settings or fleet.
            optional --example name: String
        }

        /// Check a configuration, show its difference, and make it the next revision.
        cmd apply {
            /// New configuration, JSON with comments.
            required file: PathBuf
            /// Author shown in the history. Default: the variable USER.
            optional --author name: String
            /// Show the difference and change nothing.
            optional --dry-run
        }

        /// Print the configuration in force.
        cmd get {
            /// Print only its revision.
            optional --revision
        }

        /// Print the difference from the configuration in force to a file.
        cmd diff {
            /// Configuration to compare.
            required file: PathBuf
        }

        /// List the last revisions.
        cmd history {}

        /// Manage the keys that session tokens are signed with.
        cmd keys {
            /// Add a random key and keep the last two.
            cmd rotate {}
        }

        /// Show what a selector matches: callers and databases of the configuration, and sessions.
        cmd match {
            /// Selector, such as: kind in (kiosk, vendor), !report
            required selector: String
            /// Admin address of a node whose sessions are matched too.
            optional --node address: SocketAddr
            /// Match the sessions of all members that the node knows.
            optional --all
        }

        /// Follow a change through the fleet.
        cmd rollout {
            /// Show the revision in force on nodes, and the slowest.
            cmd status {
                /// Admin address of a node.
                required --node address: SocketAddr
                /// Ask all members that the node knows.
                optional --all
            }
        }

        /// Show the callers with the highest counts of the last minutes.
        cmd top {
            /// Admin address of a node.
            required --node address: SocketAddr
            /// Ask all members that the node knows and add the counts up.
            optional --all
            /// requests, slot_time, refused, replica_declined, repeated_keys, outcome_unknown, or all
            /// for a table of each. Default: requests.
            optional --measure name: String
            /// Number of callers. Default: 20.
            optional --rows count: usize
        }

        /// Show how a node would serve a caller, and why.
        cmd explain {
            /// Cluster that the caller connects to.
            required --cluster name: String
            /// Admin address of a node.
            required --node address: SocketAddr
            /// User name of the caller.
            optional --user name: String
            /// Application name of the caller.
            optional --application name: String
            /// IP address of the caller.
            optional --address address: String
            /// Labels of the session, such as: kind=kiosk, town=north
            optional --labels labels: String
        }

        /// Print the state of a node as JSON.
        cmd dump {
            /// Admin address of a node.
            required --node address: SocketAddr
            /// Print the state of all members that the node knows.
            optional --all
        }

        /// Begin the graceful shutdown of a node.
        cmd drain {
            /// Admin address of the node.
            required --node address: SocketAddr
        }
    }
}
