"""The number of admitted nodes, recorded in a file beside the store.

A store that was restored from a backup may not know nodes that were admitted since. The file shows whether
the present store is older than the last admission, is a different store, or is empty although this is not the
first start.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import NamedTuple

from .lease_types import DurableState


class Admissions(NamedTuple):
    """Contents of the file."""

    incarnation: str  # of the store
    admissions: int


class AdmissionRecord:
    """The admission record file of one store."""

    def __init__(self, store: Path) -> None:
        """Use the file beside the store file at path `store`."""
        self.path = Path(f"{store}.drains")

    def suspension_reason(
        self, incarnation: str, state: DurableState, *, store_is_empty: bool, new_installation: bool
    ) -> str:
        """Why the store may know fewer nodes than were admitted; empty if it knows all of them."""
        try:
            recorded = self._read()
        except FileNotFoundError:
            if store_is_empty:
                return "" if new_installation else "an empty store, not said to be a first start"
            return "no witness beside the store" if state.admissions else ""
        except (OSError, ValueError, KeyError, TypeError) as error:
            return f"the witness beside the store cannot be read: {type(error).__name__}"
        if recorded.incarnation != incarnation:
            return "another store stood here"
        if recorded.admissions > state.admissions:
            return f"{recorded.admissions} nodes were admitted, this store knows of {state.admissions}"
        return ""

    def _read(self) -> Admissions:
        content = json.loads(self.path.read_text(encoding="utf-8"))
        return Admissions(str(content["life"]), int(content["admissions"]))

    def write(self, incarnation: str, admissions: int) -> None:
        """Replace the file atomically and sync its contents to disk. Blocks on disk I/O; raises OSError."""
        part = Path(f"{self.path}.part")
        with part.open("w", encoding="utf-8") as file:
            json.dump({"life": incarnation, "admissions": admissions}, file)
            file.flush()
            os.fsync(file.fileno())
        part.replace(self.path)
