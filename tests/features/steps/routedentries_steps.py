"""Steps about entries of the platform's store that another writer has left."""

from behave import when
from routed_steps import fleet_of

ODD = {
    "nested too deeply": "[" * 5000,
}


@when('another writer leaves an entry under "{prefix}" that is "{odd}"')
def leave_entry(context, prefix, odd):
    fleet_of(context).write({f"{prefix}stranger": ODD[odd]})
