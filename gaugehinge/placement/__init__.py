"""Self-service placement: tenants pin shards of their keys to regions; off unless switched on."""
