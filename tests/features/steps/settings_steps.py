"""Steps of what operators do with the settings commands, and of what these answer."""

from behave import given, then, when

from standins.fleet import MESH_KEY
from tests.operators import HIREDESK, LEDGER, PLANNER, at_once, entries, history, service_text

HASHES = {"organisers": "f7879972c88f362b1ab7ac03a119b78990ab0426cd5559aea60b4e19cb6cc205"}


def settings(context, author, *arguments, text=""):
    context.before = entries(context.fleet)
    context.done = context.fleet.settings(*arguments, f"--author={author}", text=text)
    after = entries(context.fleet)
    context.revision = max(entry["revision"] for entry in after.values())
    context.path = arguments[1]


@when("{count:d} operators at once set the planner's wait limit from the revision they saw")
def operators_race(context, count):
    seen = entries(context.fleet)[PLANNER]["revision"]

    def change(number):
        return context.fleet.settings(
            "set",
            PLANNER,
            f"--revision={seen}",
            f"--author=operator-{number}",
            text=service_text(50 + number),
        )

    context.outcomes = at_once(change, range(count))


@then("exactly one of them has written and the others are told who was first")
def one_wins(context):
    codes = sorted(done.returncode for done in context.outcomes)
    assert codes == [0] + [3] * (len(codes) - 1), (codes, context.outcomes)
    (winner,) = [i for i, done in enumerate(context.outcomes) if done.returncode == 0]
    context.winner = f"operator-{winner}"
    for done in context.outcomes:
        if done.returncode:
            assert context.winner in done.stderr and done.stderr.count("\n") == 1, done.stderr
    assert service_text(50 + winner) in entries(context.fleet)[PLANNER]["text"]


@then("the history of the planner has {count:d} revisions, the last by the winner")
def history_by_winner(context, count):
    history_by(context, count, context.winner)


@then('the history of the planner has {count:d} revisions, the last by "{author}"')
def history_by(context, count, author):
    found = history(context.fleet, PLANNER)
    assert len(found) == count, found
    assert found[-1]["author"] == author, found
    assert found[-1]["text"] == entries(context.fleet)[PLANNER]["text"]


@given('operator "{author}" sets the planner\'s wait limit to {limit:d}')
@when('operator "{author}" sets the planner\'s wait limit to {limit:d}')
def set_planner(context, author, limit):
    settings(context, author, "set", PLANNER, text=service_text(limit))


@when('operator "{author}" sets the planner\'s wait limit to {limit:d} and waits {wait:d} seconds')
def set_and_wait(context, author, limit, wait):
    hosts = f"--hostlist={context.fleet.processes['hosts'].http}"
    options = ("--wait", f"--limit={wait}", hosts, f"--key={MESH_KEY}")
    settings(context, author, "set", PLANNER, *options, text=service_text(limit))


@when('operator "{author}" sets the ledger\'s call timeout to {limit:d}')
def set_ledger(context, author, limit):
    text = f"[service]\nkind = plain\ncall_timeout = {limit}\nnon_repeatable = POST /refunds*\n"
    settings(context, author, "set", LEDGER, text=text)


@given('operator "{author}" has seen the settings')
def has_seen(context, author):
    context.seen = max(entry["revision"] for entry in entries(context.fleet).values())


@when('operator "{author}" applies a file that changes the planner and hiredesk')
def apply_two(context, author):
    file = context.fleet.path / "two.ini"
    planner, hiredesk = service_text(60), service_text(60, "plain")
    sections = (planner.replace("[service]", f"[{PLANNER}]"), hiredesk)
    file.write_text(sections[0] + sections[1].replace("[service]", f"[{HIREDESK}]"))
    settings(context, author, "apply", str(file), f"--revision={context.seen}")


@then("nothing of that file is written")
@then("the settings are as they were")
def unchanged(context):
    assert entries(context.fleet) == context.before


@when('operator "{author}" deletes "{path}"')
def delete_path(context, author, path):
    settings(context, author, "delete", path)


@when('operator "{author}" deletes "{path}" with force')
def delete_with_force(context, author, path):
    settings(context, author, "delete", path, "--force")


@when('operator "{author}" deletes "{path}" with a misspelt flag')
def delete_misspelt(context, author, path):
    settings(context, author, "delete", path, "--forse")


@when('operator "{author}" gives another account the organisers\' key')
def share_key(context, author):
    text = f"[account]\nkey_sha256 = {HASHES['organisers']}\n"
    settings(context, author, "set", "/teams/bottle-returns/accounts/copy", text=text)


@then('only team "{team}" is left, untouched')
def only_team(context, team):
    kept = {path: e for path, e in context.before.items() if path.split("/")[2] == team}
    assert kept and entries(context.fleet) == kept


@when('operator "{author}" closes team "{team}" and waits')
def close_team(context, author, team):
    hosts = f"--hostlist={context.fleet.processes['hosts'].http}"
    settings(context, author, "close-team", team, "--wait", hosts, f"--key={MESH_KEY}")


@then("the command succeeds")
def succeeds(context):
    assert context.done.returncode == 0, context.done.stderr


@then('the command fails with status {status:d} and says "{words}"')
def fails_with(context, status, words):
    assert context.done.returncode == status, context.done
    assert words in context.done.stderr, context.done.stderr
    assert "Traceback" not in context.done.stderr, context.done.stderr


@when('operator "{author}" makes the organisers\' account anew')
def make_anew(context, author):
    text = f"[account]\nkey_sha256 = {HASHES['organisers']}\n"
    settings(context, author, "set", "/teams/sound-trust/accounts/organisers", text=text)
