//! Reads a node's settings.

use model::NodeSettings;

use crate::SettingsError;

/// Reads and checks a settings text.
///
/// # Errors
///
/// Returns every error found, in the order of the text.
pub fn parse_settings(_file: &str, _text: &str) -> Result<NodeSettings, Vec<SettingsError>> {
    Err(Vec::new())
}
