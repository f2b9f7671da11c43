"""Rolling drains of nodes within the limits on connections; off unless switched on."""
