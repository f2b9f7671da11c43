"""Tenants added and removed under live traffic: lifecycle, key spaces, credentials, and router leases."""
