//! Experiments in virtual time and capacity slopes.
