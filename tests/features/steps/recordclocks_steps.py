"""Steps about hosts whose clocks are wrong."""

import sys
import time
import uuid

from behave import given, then, when

from standins.fleet import wait_until
from tests.features.steps.fleet_steps import start_daemons
from tests.features.steps.records_steps import post_through

CLOSE = 10.0  # seconds
UUID_TIME_SHIFT = 80  # bits below the milliseconds of a UUIDv7
UUID_VERSION_AND_VARIANT = 7 << 76 | 2 << 62


@given('a daemon "{name}" whose clock is {seconds:d} seconds off')
def wrong_daemon(context, name, seconds):
    program = context.fleet.daemon_program
    context.fleet.daemon_program = [sys.executable, "-m", "tests.wrongclock", str(seconds)]
    start_daemons(context, name, "accra-1", "accra")
    context.fleet.daemon_program = program


@when('a refund with a key made {seconds:d} seconds ago is posted through "{daemon}"')
def post_old_key(context, seconds, daemon):
    made = int((time.time() - seconds) * 1000)
    key = uuid.UUID(int=made << UUID_TIME_SHIFT | UUID_VERSION_AND_VARIANT)
    post_through(context, str(key), daemon)


@then('daemon "{name}" says that its clock is {seconds:d} seconds off')
def says_offset(context, name, seconds):
    def says():
        return abs(context.fleet.status(name)["clock_offset"] + seconds) < CLOSE

    wait_until("it has compared the clocks", says)
