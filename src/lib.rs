//! A serving system for model generations of unknown length on crowded engines.
