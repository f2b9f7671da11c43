"""Tunes the C library's heap for long replies."""

from __future__ import annotations

import ctypes

M_MMAP_THRESHOLD = -3  # malloc.h: the parameter of `mallopt`
MMAP_THRESHOLD_BYTES = 32 * 1024  # what clients and servers send in one read is mostly shorter


def return_long_allocations() -> None:
    """Make the C library return the memory of each long reply to the system as soon as it is freed.

    By default it raises the threshold to the size of the first long allocation that is freed. Later ones then
    come from a heap that fragments and stays as large as it once was. Does nothing where the C library has no
    `mallopt`.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
