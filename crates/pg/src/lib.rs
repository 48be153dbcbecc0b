//! PostgreSQL v3 framing and message building over the codec of `pgwire`.
