"""Keeps the code that attrs generates for classes, compiled, for the start of a daemon.

attrs writes the source of each class's methods when the class is defined, and compiles it; for all
classes of a daemon, that takes longer than to load the modules. The build keeps the compiled code
in a file, each piece under the digest of its source: a class or an attrs that has changed finds
none there.
"""

import contextlib
import hashlib
import importlib.util
import marshal
import zlib
from collections.abc import Iterator
from pathlib import Path
from types import CodeType

from attr import _make as attrs_internals

FILE_NAME = "classcode.bin"
HEADER = importlib.util.MAGIC_NUMBER  # of this Python's code
UNREADABLE = (OSError, EOFError, ValueError, TypeError)


class ClassCode(dict):
    """Compiled code by the digest of its source, and by its file name and mode."""

    def compile(self, source: str, *named: str) -> CodeType:
        """Return the code for a source, compiled if it is new."""
        key = (hashlib.sha256(source.encode()).digest(), *named)
        code = self.get(key)
        if code is None:
            code = self[key] = compile(source, *named, dont_inherit=True)
        return code


def salt(name: str) -> int:
    """Return the number that tells a class's hashes from others'.

    It stands in the source, where the built-in hash of a text would differ with each process.
    """
    return zlib.crc32(name.encode())


def read(file: Path) -> ClassCode:
    """Return the code in a file; none if it is of another Python, or unreadable."""
    try:
        data = file.read_bytes()
        if data.startswith(HEADER):
            return ClassCode(marshal.loads(memoryview(data)[len(HEADER) :]))
    except UNREADABLE:
        pass  # a class is compiled when it is defined, as without the file
    return ClassCode()


def write(file: Path, codes: ClassCode) -> None:
    """Write code to a file."""
    file.write_bytes(HEADER + marshal.dumps(dict(codes)))


@contextlib.contextmanager
def kept_in(file: Path) -> Iterator[ClassCode]:
    """Let attrs take the code of a file for the classes that are defined meanwhile."""
    codes = read(file)
    # These names hide the built-in functions from that module alone. If another attrs compiles
    # elsewhere, they aren't looked up, and the start just takes longer.
    attrs_internals.compile, attrs_internals.hash = codes.compile, salt
    try:
        yield codes
    finally:
        del attrs_internals.compile, attrs_internals.hash
