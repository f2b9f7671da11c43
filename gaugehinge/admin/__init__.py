"""The administration API: tenants, credentials and audit over HTTP and JSON, on the durable store."""
