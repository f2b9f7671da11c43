"""Bytes and patterns that count how much of them is examined or copied, to show costs without a clock."""

import re


class Scan:
    """The number of bytes that were examined or copied."""

    def __init__(self) -> None:
        self.count = 0


class ScannedBytes(bytes):
    """Bytes that count what their methods examine and what slices copy."""

    scan: Scan

    @classmethod
    def of(cls, data: bytes, scan: Scan) -> "ScannedBytes":
        made = cls(data)
        made.scan = scan
        return made

    def __getitem__(self, index):
        found = super().__getitem__(index)
        if not isinstance(index, slice):
            return found
        self.scan.count += len(found)
        return self.of(found, self.scan)

    def find(self, sub, start=0, end=None):
        end = len(self) if end is None else end
        found = super().find(sub, start, end)
        self.scan.count += max((end if found < 0 else found + len(sub)) - start, 0)
        return found

    def rfind(self, sub, start=0, end=None):
        end = len(self) if end is None else end
        found = super().rfind(sub, start, end)
        self.scan.count += max(end - max(found, start), 0)
        return found

    def rstrip(self, chars=None):
        rest = super().rstrip(chars)
        self.scan.count += len(self)
        return rest

    def removesuffix(self, suffix):
        return self.of(super().removesuffix(suffix), self.scan)

    def split(self, separator=None, maxsplit=-1):
        self.scan.count += len(self)
        return [self.of(part, self.scan) for part in super().split(separator, maxsplit)]


class ScannedPattern:
    """A pattern that counts the bytes between the start of each search and the end of its match."""

    def __init__(self, pattern: re.Pattern, scan: Scan) -> None:
        self.pattern, self.scan = pattern, scan

    def _count(self, found, text, start, end):
        self.scan.count += (found.end() if found else min(end, len(text))) - start
        return found

    def search(self, text, start=0, end=1 << 60):
        return self._count(self.pattern.search(text, start, end), text, start, end)

    def match(self, text, start=0, end=1 << 60):
        found = self.pattern.match(text, start, end)
        return self._count(found, text, start, end)

    def fullmatch(self, text, start=0, end=1 << 60):
        return self._count(self.pattern.fullmatch(text, start, end), text, start, end)

    def sub(self, replacement, text):
        self.scan.count += len(text)
        return self.pattern.sub(replacement, text)


def scan_patterns(monkeypatch, module, scan: Scan) -> None:
    """Count the searches of all patterns of a module."""
    for name, value in list(vars(module).items()):
        if isinstance(value, re.Pattern):
            monkeypatch.setattr(module, name, ScannedPattern(value, scan))
