"""Steps about a daemon that begins to follow the store again."""

from behave import when
from routed_steps import fleet_of


@when('the entry of "{engine}" is removed')
def remove_entry(context, engine):
    fleet_of(context).write({f"servers/{engine}": None})
