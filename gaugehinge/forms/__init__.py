"""Files of ours: TOML with units to checked structs, their schema and reference, and records of runs."""
