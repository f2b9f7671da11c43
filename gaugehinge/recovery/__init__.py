"""Recovery of a whole fleet from a power loss; off unless enabled in `[recovery]`."""
