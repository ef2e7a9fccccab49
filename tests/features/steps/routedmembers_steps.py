"""Steps about who knows whom, and who follows the store, without processes."""

import asyncio
import time

from behave import given, then, when
from routed_steps import fleet_of
from routedparts_steps import Clock

from papayacourse.catalog import Catalog
from papayacourse.gateways import Gateways
from papayacourse.hostchanges import digest
from papayacourse.hostlist import HostList, HostListing
from papayacourse.membership import Membership
from papayacourse.meshmessages import DomainSummary, Heartbeat, Hello, HostsChanges, PlatformNews
from papayacourse.peers import Peers
from papayacourse.rendezvous import ranked
from papayacourse.routed.document import Document
from papayacourse.routed.documents import Documents
from papayacourse.routed.watchers import DUTY, Watchers
from papayacourse.types import Address, Host, HostKind
from standins.fleet import wait_until

WAKE_TIME = 2.0  # seconds


def membership(clock: Clock) -> Membership:
    """Return the membership of a daemon that is on no network."""
    hello = Hello("me", 1, "lagos", "lagos", "127.0.0.1:1", b"")
    address = Address("127.0.0.1", 2)
    return Membership(hello, Peers(hello, "k" * 20), Catalog(), HostList(address), (), clock)


@given("a member of another domain that said it takes no duties {seconds:g} s ago")
def told_long_ago(context, seconds):
    async def work() -> None:
        context.clock = Clock()
        context.membership = membership(context.clock)
        peer = Hello("far", 1, "kano", "kano", "127.0.0.1:3", b"")
        context.membership.handle_connected(peer)
        await context.membership.handle_heartbeat(peer, Heartbeat("far", 1, True, 0, 0))
        context.clock.now += seconds
        # Other frames still come from it.
        context.membership.record_frame(peer)

    asyncio.run(work())


@when("that domain's gateways say that it serves")
def gateways_say(context):
    context.membership.remote_live = lambda domain: ["far"] if domain == "kano" else []


@then("it is counted among the domain's daemons")
def is_counted(context):
    assert context.membership.live("kano") == ["far"]


class NotedPeers(Peers):
    """Peers on no network, that note what is sent to them."""

    def send_on_open_link(self, name, message) -> None:
        """Note a message."""
        self.said.append((self.hello.name, name, message))


@when("it sends its domain's summary, in which it serves")
def sends_summary(context):
    take_summary(context, (Hello("far", 1, "kano", "kano", "127.0.0.1:3", b""),))


@when("it sends its domain's summary, in which nobody serves")
def sends_empty_summary(context):
    take_summary(context, ())


def take_summary(context, live) -> None:
    """Let the membership's gateways take a summary from "far" itself."""
    members = context.membership
    gateways = Gateways(members, members.peers, context.clock)
    peer = Hello("far", 1, "kano", "kano", "127.0.0.1:3", b"")
    asyncio.run(gateways.handle_summary(peer, DomainSummary("kano", "kano", live, ())))


@then("it is not counted among the domain's daemons")
def is_not_counted(context):
    assert context.membership.live("kano") == []


@given("two domains whose daemons have heard each other say that they take no duties yet")
def two_uninformed(context):
    context.clock = Clock()
    context.hellos = [
        Hello("near", 1, "lagos", "lagos", "127.0.0.1:3", b""),
        Hello("far", 1, "kano", "kano", "127.0.0.1:4", b""),
    ]
    context.said = []
    context.sides = [uninformed(context, hello) for hello in context.hellos]

    async def work() -> None:
        for side, other in zip(context.sides, reversed(context.hellos), strict=True):
            side.handle_connected(other)
            await side.handle_heartbeat(other, Heartbeat(other.name, 1, True, 0, 0))
            side.peers.links = {other.name: None}

    asyncio.run(work())


def uninformed(context, hello) -> Membership:
    """Return the membership of a daemon that knows too little, and notes what it sends."""
    peers = NotedPeers(hello, "k" * 20)
    peers.said = context.said
    host_list = HostList(Address("127.0.0.1", 2))
    members = Membership(hello, peers, Catalog(), host_list, (), context.clock)
    members.informed = lambda: False
    return members


@then("each keeps a link to the other")
def each_keeps_link(context):
    near, far = context.sides
    assert near.gateway_links.link_targets("kano") == ["far"], near.gateway_links.link_targets(
        "kano"
    )
    assert far.gateway_links.link_targets("lagos") == ["near"], far.gateway_links.link_targets(
        "lagos"
    )


@when("they know enough to take duties")
def they_know_enough(context):
    for side in context.sides:
        side.informed = lambda: True


@then("each is told so by the other within {seconds:g} s")
def each_is_told(context, seconds):
    async def work() -> None:
        tending = [asyncio.create_task(side.maintain_members()) for side in context.sides]
        await asyncio.sleep(seconds)
        for task in tending:
            task.cancel()

    context.said.clear()
    asyncio.run(work())
    told = {(sender, name) for sender, name, message in context.said if not message.leaving}
    assert told == {("near", "far"), ("far", "near")}, context.said


@when("a daemon meets itself through a seed")
def meets_itself(context):
    context.membership = membership(Clock())
    context.membership.handle_connected(context.membership.me)


@then("it has no members")
def has_no_members(context):
    assert context.membership.members == {}


# Who follows the store.


@given("a domain of {count:d} daemons that hear each other")
def make_domain(context, count):
    context.clock = Clock()
    hellos = [
        Hello(f"d{number}", 1, "lagos", "lagos", f"127.0.0.1:{number}", b"")
        for number in range(count)
    ]
    asyncio.run(meet(context, hellos))


async def meet(context, hellos) -> None:
    """Let daemons that are on no network meet each other, and hear that some follow."""
    context.watchers = []
    for hello in hellos:
        peers = Peers(hello, "k" * 20)
        members = Membership(
            hello, peers, Catalog(), HostList(Address("127.0.0.1", 2)), (), context.clock
        )
        documents = Documents(peers, Document, lambda _document: None)
        watchers = Watchers(members, peers, documents, lambda: True, clock=context.clock)
        for other in hellos:
            members.handle_connected(other)
        for other in hellos:
            if other is not hello:
                await watchers.heard(other, PlatformNews(0, 0))
        context.watchers.append(watchers)


@then("{count:d} of them follow the store")
@then("{count:d} of them follows the store")
def how_many_follow(context, count):
    assert sum(watcher.should_follow() for watcher in context.watchers) == count


@when("{seconds:g} s passes without a word of it")
@when("{seconds:g} s pass without a word of it")
def no_word(context, seconds):
    context.clock.now += seconds


def in_rank(context) -> list[Watchers]:
    """Return the daemons in the order in which they should follow the store."""
    by_name = {watcher.membership.me.name: watcher for watcher in context.watchers}
    return [by_name[name] for name in ranked(DUTY, sorted(by_name))]


def say(context, speakers) -> None:
    """Let daemons say to all others that they follow the store."""

    async def work() -> None:
        for watcher in context.watchers:
            for speaker in speakers:
                if speaker is not watcher:
                    await watcher.heard(speaker.membership.me, PlatformNews(0, 0))

    asyncio.run(work())


@when("the three that rank last say that they follow the store")
def last_say(context):
    say(context, in_rank(context)[2:])


@when("the first says that it follows the store")
def first_says(context):
    say(context, in_rank(context)[:1])


@then("the first two and the best of these follow the store")
def these_follow(context):
    order = in_rank(context)
    assert [w for w in order if w.should_follow()] == order[:3]


# News of the list of hosts.


def desk(name: str) -> Host:
    """Return a server."""
    return Host(name, HostKind.ENGINE, "127.0.0.1:9", "lagos", "lagos", service="desk")


@given("a daemon whose list is at version {version:d}")
def list_at(context, version):
    context.clock = Clock()
    context.membership = membership(context.clock)
    context.membership.host_sync.apply_listing(HostListing(version, (desk("desk-0"),)))
    documents = Documents(context.membership.peers, Document, lambda _document: None)
    context.watcher = Watchers(
        context.membership, context.membership.peers, documents, lambda: False, clock=context.clock
    )


@when('a follower tells that "{name}" has been listed since version {version:d}')
def told_of_change(context, name, version):
    hosts = (desk("desk-0"), desk(name))
    changes = HostsChanges(0, version + 2, (desk(name),), (), digest(hosts))
    peer = Hello("far", 1, "lagos", "lagos", "127.0.0.1:3", b"")
    asyncio.run(context.watcher.heard(peer, PlatformNews(0, version + 2, changes=changes)))


@then('"{name}" is listed there, and nothing was asked')
def listed_unasked(context, name):
    host_sync = context.membership.host_sync
    assert name in host_sync.listing.by_name
    assert host_sync.request_task is None


# Daemons that stand still.


@when('routed daemon "{name}" stands still')
def stands_still(context, name):
    context.fleet.processes[name].freeze()


@when('"{other}" stands still in place of "{name}"')
def goes_on(context, name, other):
    context.fleet.processes[name].thaw()
    # It has to be heard again before another one goes.
    time.sleep(WAKE_TIME)
    context.fleet.processes[other].freeze()


@then('GET "{path}" through "{name}" is answered {status:d} within {seconds:g} s')
def answered_within(context, path, name, status, seconds):
    fleet = fleet_of(context)
    wait_until(
        f"{name} answers {status}", lambda: fleet.ask(name, "GET", path).status == status, seconds
    )
