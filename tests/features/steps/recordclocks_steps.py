"""Steps about hosts whose clocks are wrong."""

import sys
import time
import uuid

from behave import given, then, when

from standins.fleet import wait_until
from tests.features.steps.fleet_steps import SETTINGS_PATHS
from tests.features.steps.records_steps import post_through

CLOSE = 10.0  # seconds
UUID_TIME_SHIFT = 80  # bits below the milliseconds of a UUIDv7
UUID_VERSION_AND_VARIANT = 7 << 76 | 2 << 62


@given('a daemon "{name}" whose clock is {seconds:d} seconds off')
def wrong_daemon(context, name, seconds):
    start_wrong(context, name, seconds)


@given('a daemon "{name}" that cannot reach the platform, whose clock is {seconds:d} seconds off')
def wrong_daemon_cut_off(context, name, seconds):
    link = context.fleet.proxy("link-kv", context.fleet.processes["kv"].http)
    context.fleet.admin("link-kv", {"mode": "cut"})
    start_wrong(context, name, seconds, domain="accra-2", kv=link.ready["address"])


@when("it can reach the platform")
def reach_platform(context):
    context.fleet.admin("link-kv", {"mode": "pass"})


def start_wrong(context, name, seconds, domain="accra-1", **platform):
    """Start a daemon on a host whose clock is wrong."""
    program = context.fleet.daemon_program
    context.fleet.daemon_program = [sys.executable, "-m", "tests.wrongclock", str(seconds)]
    context.fleet.daemon(name, domain, "accra", **platform)
    context.fleet.wait_settled(name, paths=SETTINGS_PATHS)
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
