"""Rolling drains of nodes within connection limits; disabled unless switched on in section `[drains]`."""
