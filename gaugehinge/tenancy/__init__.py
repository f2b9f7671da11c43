"""Tenants that come and go while traffic flows: lifecycle, key spaces, credentials, and leases of routers."""
