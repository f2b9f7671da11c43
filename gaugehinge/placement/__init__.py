"""Tenants pin shards of their keys to regions, held to by routers under leases (docs/placement.md)."""
