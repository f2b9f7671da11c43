"""Writes the state file from a thread, one write at a time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from .node_file import NodeFile


@dataclass(slots=True, eq=False)
class NodeStateWriter:
    """Writes changes in the background. Changes made during a write are merged into the next one."""

    file: NodeFile
    nursery: trio.Nursery
    pending: dict[str, Any] = field(default_factory=dict)  # not yet written, by field of NodeState
    writing: bool = False

    def save(self, **changes: Any) -> None:
        """Schedule a write of changed fields of the NodeState."""
        self.pending |= changes
        if not self.writing:
            self.writing = True
            self.nursery.start_soon(self._write_all)

    async def _write_all(self) -> None:
        try:
            while self.pending:
                state = msgspec.structs.replace(self.file.state, **self.pending)
                self.pending = {}
                await trio.to_thread.run_sync(self.file.save, state)
        finally:
            self.writing = False
