//! Cap'n Proto schema of settings, configuration and peer messages, with the committed generated code.
