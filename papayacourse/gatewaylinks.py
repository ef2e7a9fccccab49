"""Selects the daemons of other failure domains that this daemon keeps links to."""

from typing import TYPE_CHECKING

from attrs import define, field

from papayacourse.rendezvous import ranked

if TYPE_CHECKING:
    from papayacourse.membership import Membership

LINKS_PER_REMOTE_DOMAIN = 2  # per gateway
GATEWAYS_PER_DOMAIN = 2  # towards each other domain


@define(eq=False)
class GatewayLinks:
    """The links to other domains that this daemon keeps as a gateway.

    Attributes
    ----------
    names : set of str
        The daemons to keep links to, as of the last refresh.
    """

    membership: "Membership"
    names: set[str] = field(factory=set)

    def refresh(self) -> None:
        """Recompute which links to keep."""
        members = self.membership
        others = members.domains().keys() - {members.me.domain}
        self.names = {name for domain in others for name in self.link_targets(domain)}

    def link_targets(self, domain: str) -> list[str]:
        """Return the daemons to link to in another domain, or none if this one is no gateway to it.

        Both domains compute the same pairs; a difference in their views only costs a link.
        """
        members, me = self.membership, self.membership.me
        pair = "/".join(sorted((me.domain, domain)))
        mine = {*members.live(), me.name} - ({me.name} if members.leaving else set())
        if me.name not in ranked(f"gateway/{pair}", mine)[:GATEWAYS_PER_DOMAIN]:
            return []
        return ranked(f"gateway/{pair}", self._reachable(domain))[:LINKS_PER_REMOTE_DOMAIN]

    def _reachable(self, domain: str) -> list[str]:
        """Return the link candidates of another domain, from the best group that is not empty.

        Daemons that take no duties are used if there are no others: without a link to them,
        nobody would learn when they begin to take duties.
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
