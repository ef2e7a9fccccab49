"""Messages between daemons about membership, hosts, settings and loads."""

from attrs import frozen

from papayacourse.types import Host, UnboundedSeconds


@frozen
class Hello:
    """Opens a link: the identity of the sender and a challenge for the other side."""

    name: str
    incarnation: int
    domain: str
    region: str
    mesh: str
    nonce: bytes


@frozen
class Proof:
    """Answers the other side's challenge with the mesh key."""

    digest: bytes


@frozen
class Done:
    """An empty answer."""


@frozen
class CallFailed:
    """Reports that a call failed at the peer."""

    detail: str


@frozen
class ServiceLoad:
    """The load of one cell of a service in one failure domain, as its scheduler sees it.

    Attributes
    ----------
    queued : int
        Requests waiting.
    expected_wait : float
        The expected wait of a new request, in seconds.
    free_tokens : int
        Memory still available to admission control, in tokens.
    step, pause : float
        The seconds per token with one more stream, and the expected pause for a prompt in seconds,
        of the engine with room for which their sum is least; both 0 if no pace is known.
    """

    team: str
    service: str
    queued: int
    expected_wait: UnboundedSeconds
    free_tokens: int
    cell: int = 0
    step: float = 0.0
    pause: float = 0.0


@frozen
class Heartbeat:
    """Reports that a daemon is alive and what it knows; sent on each change and periodically.

    Attributes
    ----------
    leaving : bool
        True if it takes no duties: it is stopping, or does not have enough data yet.
    settings_digest : int
        A hash over all (path, revision) pairs in force at the daemon.
    hosts_version, hosts_epoch : int
        The version of the host list it knows, and how often that list has been restarted.
    loads : tuple of ServiceLoad
        The services that it schedules.
    on_ring : bool
        True if it watches only its neighbours on the ring; otherwise it watches all daemons.
    document_version : int
        The version of the settings document in force at the daemon; 0 without one.
    """

    name: str
    incarnation: int
    leaving: bool
    settings_digest: int
    hosts_version: int
    loads: tuple[ServiceLoad, ...] = ()
    hosts_epoch: int = 0
    on_ring: bool = False
    document_version: int = 0


@frozen
class Beat:
    """Reports that a daemon is alive and its last Heartbeat is still valid; as a call, a probe."""


@frozen
class DeathReport:
    """Reports that a daemon watched by the sender has been silent for too long."""

    name: str
    incarnation: int


@frozen
class DomainSummary:
    """The state of a failure domain, sent once a second between gateways.

    Attributes
    ----------
    live : tuple of Hello
        Its live daemons that are not leaving.
    """

    domain: str
    region: str
    live: tuple[Hello, ...]
    loads: tuple[ServiceLoad, ...]


@frozen
class DomainLoads:
    """The loads of a failure domain that have changed since the last message on this link."""

    domain: str
    loads: tuple[ServiceLoad, ...]


@frozen
class HostsAsk:
    """Asks a peer for host list changes since the given epoch and version.

    Attributes
    ----------
    whole : bool
        True if the full list is required.
    """

    version: int
    epoch: int = 0
    whole: bool = False


@frozen
class HostsUpdate:
    """Sends a full, newer host list to a peer."""

    version: int
    hosts: tuple[Host, ...]
    epoch: int = 0


@frozen
class HostsChanges:
    """Sends a peer the changes to the host list since the version it has.

    Attributes
    ----------
    digest : int
        The expected hash over all hosts of the list after the changes are applied.
    """

    epoch: int
    version: int
    changed: tuple[Host, ...]
    removed: tuple[str, ...]
    digest: int


@frozen
class SettingsVersion:
    """The highest revision that a daemon knows for one settings path."""

    path: str
    revision: int


@frozen
class SettingsSummary:
    """Asks a peer with a different digest which buckets of paths differ.

    Attributes
    ----------
    digests : tuple of int
        One hash for each bucket, over the (path, revision) pairs with a value there.
    """

    digests: tuple[int, ...]


@frozen
class SettingsBuckets:
    """Names the buckets of paths that differ; answers a SettingsSummary.

    Attributes
    ----------
    informed : bool
        True if the peer has received the full settings at least once.
    """

    numbers: tuple[int, ...]
    informed: bool


@frozen
class SettingsDigest:
    """Asks a peer for its newer values in one bucket of paths."""

    bucket: int
    versions: tuple[SettingsVersion, ...]


@frozen
class SettingsValue:
    """One settings path at one revision; a deleted path has no text."""

    path: str
    revision: int
    text: str | None
    author: str = ""


@frozen
class SettingsUpdate:
    """Sends newer settings values to a peer.

    Attributes
    ----------
    more : bool
        True if more values follow than fit in one message; ask again for the rest.
    """

    values: tuple[SettingsValue, ...]
    more: bool = False


@frozen
class DocumentAsk:
    """Asks for the settings document if it is newer than this version."""

    version: int


@frozen
class DocumentCopy:
    """A settings document, as the platform's store has it, compressed by zlib."""

    version: int
    packed: bytes


@frozen
class PlatformNews:
    """Reports the versions of a daemon that follows the platform's store, on each contact with it.

    Attributes
    ----------
    epoch, version : int
        The epoch and version of its host list.
    document_version : int
        The version of its settings document; 0 without one.
    changes : HostsChanges or None
        The changes to its host list since its previous PlatformNews.
    """

    epoch: int
    version: int
    document_version: int = 0
    changes: HostsChanges | None = None
