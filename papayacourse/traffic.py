"""Counts the traffic on links to other daemons, by message kind and link class."""

from collections import Counter
from collections.abc import Iterator

from attrs import define, field

from papayacourse.linkclasses import LinkClass


@define(eq=False)
class Traffic:
    """Frames and payload bytes by message name, since the start.

    Attributes
    ----------
    sent, received : Counter
        Frames by message kind.
    sent_bytes, received_bytes : Counter
        Their payload, in bytes.
    by_class : Counter
        Payload bytes in both directions, by link class.
    """

    sent: Counter[str] = field(factory=Counter)
    sent_bytes: Counter[str] = field(factory=Counter)
    received: Counter[str] = field(factory=Counter)
    received_bytes: Counter[str] = field(factory=Counter)
    by_class: Counter[LinkClass] = field(factory=Counter)

    # Queries.

    def frames(self) -> int:
        """Return the number of frames sent and received."""
        return self.sent.total() + self.received.total()

    def payload(self) -> int:
        """Return the number of payload bytes sent and received."""
        return self.sent_bytes.total() + self.received_bytes.total()

    def table(self) -> dict[str, dict[str, int]]:
        """Return the counts of each kind of message."""
        return {
            kind: {
                "sent": self.sent[kind],
                "sent_bytes": self.sent_bytes[kind],
                "received": self.received[kind],
                "received_bytes": self.received_bytes[kind],
            }
            for kind in sorted(self.sent.keys() | self.received.keys())
        }

    def labelled(self) -> Iterator[tuple[int, dict[str, str]]]:
        """Yield the frame count of each kind with its metric attributes."""
        for direction, counts in (("sent", self.sent), ("received", self.received)):
            for kind, count in counts.items():
                yield count, {"kind": kind, "direction": direction}

    # Commands.

    def record_sent(self, message: object, size: int, link: LinkClass) -> None:
        """Count a frame that has been put in an outbox."""
        kind = type(message).__name__
        self.sent[kind] += 1
        self.sent_bytes[kind] += size
        self.by_class[link] += size

    def record_received(self, message: object, size: int, link: LinkClass) -> None:
        """Count a received frame."""
        kind = type(message).__name__
        self.received[kind] += 1
        self.received_bytes[kind] += size
        self.by_class[link] += size
