"""Pins shards of tenants' keys to regions; routers enforce the pins under leases (docs/placement.md)."""
