"""Numbers the host listings that are read from the platform's store, alike on all daemons.

The version of a listing is twice the store's revision, so that listings which different daemons
have read can be compared. The store may come back from an older copy, and then gives revisions
out again: a listing from the lost history has a higher version than every newer one. The epoch
separates the two. It rises by one when a daemon finds that the listing in force is from a lost
history, and other daemons adopt it with the listing.
"""

from attrs import define

from papayacourse import logs
from papayacourse.hostlist import HostListing

# Listings of one revision that differ in expired entries have versions of their own, so a version
# may be ahead of its revision by this many revisions.
MAX_LEAD = 8


@define
class ListNumbering:
    """The numbering of the listings that this daemon publishes.

    Attributes
    ----------
    epoch : int
        The epoch of the content that was last read as a whole.
    version : int
        The version last given in this epoch.
    """

    epoch: int = 0
    version: int = 0

    def is_outdated(self, known: HostListing, revision: int) -> bool:
        """Return True if the store must be read as a whole again.

        Parameters
        ----------
        known : HostListing
            The listing that was in force before the store was asked.
        revision : int
            The store's revision in its answer.
        """
        if known.epoch > self.epoch:
            # The content here may have been read before the store lost its history.
            return True
        return known.epoch == self.epoch and known.version > highest_version(revision)

    def begin(self, known: HostListing, revision: int, has_returned: bool) -> None:
        """Continue the numbering with content that has been read as a whole.

        Parameters
        ----------
        known : HostListing
            The listing that was in force before the store was asked.
        revision : int
            The store's revision in its answer.
        has_returned : bool
            Whether the store has come back from an older copy since the content here was read.
        """
        epoch = known.epoch
        # Once another daemon has raised the epoch, its listing is of the new history.
        is_witness = has_returned and known.epoch == self.epoch
        if known.version > highest_version(revision) or (
            is_witness and known.version >= 2 * revision
        ):
            epoch += 1
            logs.warning(
                "host list numbered anew", epoch=epoch, known=known.version, revision=revision
            )
        if epoch != self.epoch:
            self.epoch, self.version = epoch, 0

    def next_version(self, revision: int) -> int:
        """Return the version of the next listing, at a revision of the store."""
        self.version = max(2 * revision, self.version + 1)
        return self.version


def highest_version(revision: int) -> int:
    """Return the highest version that a listing of at most this revision can have."""
    return 2 * (revision + MAX_LEAD)
