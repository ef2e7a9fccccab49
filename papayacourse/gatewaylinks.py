"""Which daemons of other failure domains this one keeps links to."""

from typing import TYPE_CHECKING

from attrs import define, field

from papayacourse.rendezvous import ranked

if TYPE_CHECKING:
    from papayacourse.membership import Membership

CROSS_LINKS = 2  # daemons of each other domain that one gateway keeps a link to
GATEWAYS = 2  # daemons of a domain that keep links to another one


@define(eq=False)
class GatewayLinks:
    """The links to other domains that this daemon has as a gateway of its own.

    Attributes
    ----------
    names : set of str
        The daemons to keep links to, as of the last look.
    """

    membership: "Membership"
    names: set[str] = field(factory=set)

    def refresh(self) -> None:
        """Work out anew which links to keep."""
        members = self.membership
        others = members.domains().keys() - {members.me.domain}
        self.names = {name for domain in others for name in self.to(domain)}

    def to(self, domain: str) -> list[str]:
        """Return the daemons of another domain to keep a link to, if this one is a gateway to it.

        Both domains compute the same pairs from what they know; a difference only costs a link.
        """
        members, me = self.membership, self.membership.me
        pair = "/".join(sorted((me.domain, domain)))
        mine = {*members.live(), me.name} - ({me.name} if members.leaving else set())
        if me.name not in ranked(f"gateway/{pair}", mine)[:GATEWAYS]:
            return []
        return ranked(f"gateway/{pair}", self._reachable(domain))[:CROSS_LINKS]

    def _reachable(self, domain: str) -> list[str]:
        """Return the daemons of another domain to keep links to: the best kind that there is.

        Those that take no duties are the last choice, but one: without a link to any of them
        nobody would hear that they do by now.
        """
        members = [m for m in self.membership.members.values() if m.domain == domain]
        staying = [member.name for member in members if self.membership.may_take_duties(member)]
        known = [member.name for member in members]
        answering = [name for name in known if not self._failed(name)]
        serving = self.membership.live(domain)
        return serving or [n for n in staying if n in answering] or answering or known

    def _failed(self, name: str) -> bool:
        peers = self.membership.peers
        return peers.addresses.get(name) in peers.backoffs
