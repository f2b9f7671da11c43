"""Follows the control plane: tenants, credentials and operators' orders take effect without a restart."""
