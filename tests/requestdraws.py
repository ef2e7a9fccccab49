"""Draws settings documents, and requests written in equivalent ways."""

from attrs import evolve, frozen
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from papayacourse.routed.document import Account, CallerLimits, Document, Repeat, Route, Share
from papayacourse.routed.seams import Call

HOSTS = ("yard.example", "a-b.yard.example", "127.0.0.1", "[::1]", "yard.example:81")
SEGMENTS = ("look", "a", "ab", "x.y", "~x", "...", "a%2Fb", "%C3%A9", "a:b@c", "*;=,")
SUFFIXES = ("", "1", "ab", "x.y", "...", "a/ab", "//", "%C3%A9", "|")
UNRESERVED = "-._~"
QUERIES = ("", "?", "?a=%2f..%2E", "?http://other.example/\\#")


@frozen
class WrittenRequest:
    """An allowed request: its route by the letter, and one way of writing it."""

    document: Document
    route: Route
    call: Call
    forwarded: str


def route(number: int, host: str, prefix: str) -> Route:
    """Return a route with a name of its own."""
    shares = (Share("desk", 1.0),)
    return Route(f"r{number}", host, prefix, Repeat.SAFE, shares, 9.0, 1.0, anonymous=True)


@st.composite
def documents(draw) -> Document:
    """Draw a document with routes of several hosts, some within others."""
    prefixes = st.lists(st.sampled_from(SEGMENTS), max_size=3).map(path_of)
    named = st.tuples(st.sampled_from(HOSTS), prefixes)
    drawn = draw(st.lists(named, min_size=1, max_size=8, unique=True))
    routes = tuple(route(n, host, prefix) for n, (host, prefix) in enumerate(drawn))
    return Document(1, routes, {}, (), CallerLimits())


def path_of(segments: list[str]) -> str:
    """Return a prefix of some segments."""
    return "".join(f"/{segment}" for segment in segments) + "/"


@st.composite
def spelt(draw, text: str) -> str:
    """Draw a spelling of a path or host name with some unreserved characters escaped."""
    written = []
    for place, character in enumerate(text):
        in_escape = "%" in text[max(0, place - 2) : place + 1]
        is_plain = character.isascii() and (character.isalnum() or character in UNRESERVED)
        if is_plain and not in_escape and draw(st.integers(0, 3)) == 0:
            escape = f"%{ord(character):02X}"
            written.append(draw(st.sampled_from((escape, escape.lower()))))
        else:
            written.append(character)
    return "".join(written)


@st.composite
def spelt_hosts(draw, host: str) -> str:
    """Draw a spelling of a host, with or without a port if it has none."""
    if host.startswith("["):
        return host + draw(st.sampled_from(("", ":", ":80")))
    name, _, port = host.partition(":")
    name = draw(spelt(draw(st.sampled_from((name, name.upper(), name.title())))))
    ports = (f":{port}",) if port else ("", ":", ":80", ":8740")
    return name + draw(st.sampled_from(("", "."))) + draw(st.sampled_from(ports))


@st.composite
def written_requests(draw) -> WrittenRequest:
    """Draw a document and a request that it allows, written in an equivalent way."""
    found = draw(documents())
    chosen = draw(st.sampled_from(found.routes))
    path = chosen.prefix + draw(st.sampled_from(SUFFIXES))
    host, target = (
        draw(spelt_hosts(chosen.host)),
        draw(spelt(path)) + draw(st.sampled_from(QUERIES)),
    )
    call = Call("id", "GET", target, "", HTTPHeaders({"Host": host}), b"")
    if draw(st.booleans()):
        scheme = draw(st.sampled_from(("http", "HTTP", "https")))
        other = draw(st.sampled_from((host, "", "elsewhere.example")))
        absolute = f"{scheme}://{host}{target}"
        call = evolve(call, target=absolute, headers=HTTPHeaders({"Host": other}))
    return WrittenRequest(found, route_by_letter(found, chosen.host, path), call, target)


def route_by_letter(document: Document, host: str, path: str) -> Route:
    """Return the route with the longest prefix that a path begins with, as it stands."""
    matching = (r for r in document.routes if r.host == host and path.startswith(r.prefix))
    return max(matching, key=lambda route: len(route.prefix))


@frozen
class Delivery:
    """A copy of the settings document, as it comes from the store or a peer.

    Attributes
    ----------
    optional : str
        The path segment of a route that only some documents have; empty for none.
    keys : tuple of str
        The keys of the only account, besides one that all documents have.
    """

    version: int
    source: str
    optional: str
    keys: tuple[str, ...]

    def document(self) -> Document:
        """Return the document."""
        segments = [[], *([self.optional] for _ in self.optional[:1])]
        routes = [route(n, HOSTS[0], path_of(names)) for n, names in enumerate(segments)]
        kept = (evolve(each, anonymous=False) for each in routes)
        account = Account("organisers", ("kept", *self.keys))
        return Document(
            self.version, tuple(kept), {}, (account,), CallerLimits(), needs_accounts=True
        )


deliveries = st.builds(
    Delivery, st.integers(1, 12), st.sampled_from(("store", "peer b", "peer c")),
    st.sampled_from(("", "look", "a")), st.sets(st.sampled_from(("k1", "k2"))).map(tuple),
)  # fmt: skip
