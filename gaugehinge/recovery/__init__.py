"""Recovery of a whole fleet from a power loss; off unless switched on by `[recovery]`."""
