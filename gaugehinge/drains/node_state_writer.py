"""Writes of the state file from a thread, one at a time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from .node_file import NodeFile


@dataclass(slots=True, eq=False)
class NodeStateWriter:
    """What changes during a write is written with the next one."""

    file: NodeFile
    nursery: trio.Nursery
    pending: dict[str, Any] = field(default_factory=dict)  # by field of NodeState
    writing: bool = False

    def save(self, **changes: Any) -> None:
        """Write changed fields of the NodeState soon."""
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
