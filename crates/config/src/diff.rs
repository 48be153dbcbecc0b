//! Line-based differences between two configurations.

use std::time::Duration;

use similar::{Algorithm, TextDiff};

/// Time after which the search for the shortest difference accepts a longer one.
const DIFF_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the difference between two texts in unified format with 3 lines of context, or an empty text
/// if they are equal.
///
/// ```
/// let diff = config::diff_lines("revision 4", "a\nb\n", "new.jsonc", "a\nc\n");
/// assert_eq!(diff, "--- revision 4\n+++ new.jsonc\n@@ -1,2 +1,2 @@\n a\n-b\n+c\n");
/// assert_eq!(config::diff_lines("left", "a\n", "right", "a\n"), "");
/// ```
pub fn diff_lines(old_name: &str, old: &str, new_name: &str, new: &str) -> String {
    TextDiff::configure()
        .algorithm(Algorithm::Myers)
        .timeout(DIFF_TIMEOUT)
        .diff_lines(old, new)
        .unified_diff()
        .context_radius(3)
        .header(old_name, new_name)
        .to_string()
}
