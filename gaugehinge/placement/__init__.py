"""Shards of tenants pinned to regions: terms, their life, what the keeper claims, what routers do."""
