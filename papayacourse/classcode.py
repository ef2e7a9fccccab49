"""Caches the compiled methods that attrs generates for classes, so that a daemon starts sooner.

attrs generates the source of each class's methods when the class is defined, and compiles it. For
all classes of a daemon, that takes longer than loading the modules. The build stores the compiled
code in a file, under the digest of its source. If a class or attrs has changed, so has the source;
its code isn't found in the file and is compiled as usual.
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
HEADER = importlib.util.MAGIC_NUMBER  # differs between Pythons whose compiled code differs
UNREADABLE = (OSError, EOFError, ValueError, TypeError)


class ClassCode(dict):
    """Compiled code by the digest of its source, the file name in tracebacks, and the mode."""

    def compile(self, source: str, file_name: str, mode: str) -> CodeType:
        """Return the code of a source like the built-in function, and compile it only once."""
        key = (hashlib.sha256(source.encode()).digest(), file_name, mode)
        code = self.get(key)
        if code is None:
            code = self[key] = compile(source, file_name, mode, dont_inherit=True)
        return code


def stable_hash(name: str) -> int:
    """Return a hash of a text that is the same in every process.

    attrs writes the hash of a class's name into the source of its ``__hash__``. The built-in hash
    differs with each process, so that such a source would never be found in the file.
    """
    return zlib.crc32(name.encode())


def read(file: Path) -> ClassCode:
    """Return the code in a file; empty if it is of another Python, or unreadable."""
    try:
        data = file.read_bytes()
        if data.startswith(HEADER):
            return ClassCode(marshal.loads(memoryview(data)[len(HEADER) :]))
    except UNREADABLE:
        pass  # each class is compiled when it is defined, as without the file
    return ClassCode()


def write(file: Path, codes: ClassCode) -> None:
    """Write code to a file."""
    file.write_bytes(HEADER + marshal.dumps(dict(codes)))


@contextlib.contextmanager
def kept_in(file: Path) -> Iterator[ClassCode]:
    """Let attrs take compiled code from a file for the classes that are defined in the context.

    Yields the code of the file and all that has been compiled since; the file isn't changed.
    """
    codes = read(file)
    # attrs has no setting for this. As globals of its module, the two names come before the
    # built-in functions for the code in that module alone, until the context ends. If another
    # version of attrs compiles in another module, they have no effect, and the start takes longer.
    attrs_internals.compile, attrs_internals.hash = codes.compile, stable_hash
    try:
        yield codes
    finally:
        del attrs_internals.compile, attrs_internals.hash
