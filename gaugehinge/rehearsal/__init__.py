"""Rehearsals: a script of steps over emulator, load and routers, what is expected of it, and the report."""
