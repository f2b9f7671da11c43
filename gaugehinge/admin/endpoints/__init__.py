"""HTTP endpoints of the administration API, one module for each resource."""
