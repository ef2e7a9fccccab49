"""Steps about segments of records that another program wrote."""

import asyncio
import base64

import cbor2
from attrs import evolve
from behave import then
from hypothesis import strategies as st
from settingsinputs_steps import check_random, scalars, values

from papayacourse import buckets
from papayacourse.bucketwriter import BucketWriter
from papayacourse.exceptions import PlatformUnavailable
from papayacourse.kvstore import Entry, Listing, Written
from papayacourse.platformclock import PlatformClock

KEY = buckets.segment_key("/records/odd/00/", 3)
INTENT = buckets.Intent(b"k" * 16, b"n" * 8, b"r" * 8, 1.0, 2.0)
OUTCOME = buckets.Outcome(b"k" * 16, b"n" * 8, 200, (("a", "b"),), b"x")
ROWS = [[0, b"k", b"n", b"r", 1.0, 2.0], [1, b"k", b"n", 200, [["a", "b"]], b"x"], [2, b"k", b"n"]]
ODD_SEGMENTS = [
    None, 5, [], {}, "x", [3], [3, ROWS], [4, ROWS, False, b"", b"", 0.0],
    ["3", ROWS, False, b"", b"", 0.0], [3, ROWS, 1, b"", b"", 0.0], [3, ROWS, False, "", b"", 0.0],
    [3, ROWS, False, b"", b"", float("nan")], [3, ROWS, False, b"", b"", 10**400],
    [3, {}, False, b"", b"", None], [3, 5, False, b"", b"", 0.0], [3, [[9]], False, b"", b"", 0.0],
    [3, [[-1, b"k", b"n"]], False, b"", b"", 0.0],
    [3, [[0, [], {}, 1, 2, 3]], False, b"", b"", 0.0],
    [3, [[2, [1], b"n"]], False, b"", b"", 0.0], [3, [[2, b"k"]], False, b"", b"", 0.0],
    [3, [[1, b"k", b"n", 200, [["a"]], b"x"]], False, b"", b"", 0.0],
    [3, [[1, b"k", b"n", 200, [["a", 5]], b"x"]], False, b"", b"", 0.0],
    [3, [[1, b"k", b"n", 200, 7, b"x"]], False, b"", b"", 0.0],
    [3, [[True, b"k", b"n", b"r", 1.0, 2.0]], False, b"", b"", 0.0],
]  # fmt: skip
ODD_TEXTS = ["", "x", "=", "\\ud800", "é", "AAAA", "n" * 100_000, None]

row_fields = st.binary(max_size=3) | scalars
random_rows = st.lists(st.lists(row_fields, max_size=6) | st.sampled_from(ROWS), max_size=3)
segments = st.one_of(
    st.tuples(st.just(3) | scalars, random_rows | values, st.booleans() | scalars,
              row_fields, row_fields, st.floats(0, 1e9) | scalars).map(list),
    values,
)  # fmt: skip


def read_segment(text):
    """Return a segment, or None if it is refused as not available."""
    try:
        return buckets.unpack(Entry(KEY, text, 1))
    except PlatformUnavailable:
        return None


@then("{count:d} random segments are read as they were written or refused as not available")
def segments_are_read(context, count):
    def check(body):
        try:
            packed = base64.b64encode(cbor2.dumps(body)).decode()
        except UnicodeEncodeError:
            return
        found = read_segment(packed)
        if found is not None:
            assert buckets.unpack(Entry(KEY, buckets.pack(found), 1)) == found
            buckets.BucketState().add_segment(found)

    check_random(segments, count, check)
    written = buckets.Segment(3, (INTENT, OUTCOME, buckets.Release(b"k", b"n")))
    assert read_segment(buckets.pack(written)) == written


@then("odd segments are refused as not available")
def odd_segments_are_refused(context):
    for body in ODD_SEGMENTS:
        assert read_segment(base64.b64encode(cbor2.dumps(body)).decode()) is None, body
    for text in ODD_TEXTS:
        assert read_segment(text) is None, text


class OddStore:
    """A store that answers each question with an odd segment, and each swap with success."""

    def __init__(self):
        self.clock = PlatformClock()
        self.revision = 5

    async def list(self, prefix):
        """Return no segments."""
        return Listing((), self.revision)

    async def get(self, key):
        """Return an odd segment."""
        return Entry(key, "x", self.revision)

    async def swap(self, key, text, revision, lease=None):
        """Write nothing and say that it was written."""
        self.revision += 1
        return Written(self.revision)


async def append_beside_odd() -> list:
    """Append rows to a bucket while its compaction reads an odd segment."""
    prefix = "/records/odd/00/"
    writer = BucketWriter(OddStore(), prefix)
    answer = b"x" * buckets.SEGMENT_BYTES
    expired = buckets.Intent(b"a" * 16, b"n" * 8, answer, 1.0, 2.0)
    rows = [expired, *(evolve(INTENT, key=bytes([number]) * 16) for number in range(1, 4))]
    first = asyncio.create_task(writer.append(rows[0]))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    later = [asyncio.create_task(writer.append(row)) for row in rows[1:]]
    return await asyncio.wait_for(asyncio.gather(first, *later, return_exceptions=True), 10)


@then("a bucket whose sealed segment becomes odd answers each call that waits")
def waiting_calls_are_answered(context):
    found = asyncio.run(append_beside_odd())
    assert isinstance(found[0], buckets.Record), found
    assert all(isinstance(one, buckets.Record | PlatformUnavailable) for one in found), found
