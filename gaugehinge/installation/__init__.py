"""The installation file: one TOML file that says how a router is set up where it is not the platform."""
