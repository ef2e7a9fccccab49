"""Steps about the forms in which callers write requests."""

import json
import socket
from http.client import HTTPResponse

from behave import given, then, when
from routed_steps import SOON, fleet_of

from standins.fleet import wait_until
from tests.routedfleet import KEY, document, route

LIMIT = 10.0  # seconds


@given('a store whose document sends "site.example" to "desk", but "/vault/" and "other.example" to "vault"')  # noqa: E501  # fmt: skip
def store_with_two_services(context):
    other = route("other", "/open/", "safe", "vault", Host="other.example")
    doc = document(5, route("vault", "/vault/", "safe", "vault"), other)
    fleet_of(context).store(doc | {"Services": [*doc["Services"], {"Name": "vault"}]})


def unescaped(text: str) -> str:
    """Return a table's text with its escapes read."""
    return text.encode("latin-1").decode("unicode_escape")


def send_head(routed, name: str, line: str, fields: str, **more) -> tuple[int, bytes, str]:
    """Send a request to a daemon as it is written; return status, body and the request's id."""
    routed.number += 1
    request = f"id-{routed.number}"
    lines = [unescaped(line), f"X-Attempt-Id: {request}", f"Api-Key: {KEY}"]
    lines += [unescaped(field) for field in fields.replace("; ", ";").split(";")]
    host, _, port = routed.address(name).rpartition(":")
    with socket.create_connection((host, int(port)), LIMIT) as link:
        link.sendall("\r\n".join([*lines, "", ""]).encode("latin-1"))
        response = HTTPResponse(link)
        response.begin()
        return response.status, response.read(), request


@then('each of these heads through "{name}" runs where it should')
def runs_where_it_should(context, name):
    routed, failed = fleet_of(context), []
    ready = lambda: send_head(routed, name, "GET /open/x HTTP/1.1", "Host: site.example")[0] == 200  # noqa: E731  # fmt: skip
    wait_until("it serves", ready, SOON)
    for row in context.table:
        status, body, request = send_head(routed, name, row["request line"], row["headers"])
        found = [run for run in routed.runs(row["server"]) if run["name"] == request]
        got = [(run["target"], run["headers"]["Host"]) for run in found]
        if status != 200 or got != [(unescaped(row["gets"]), row["with host"])]:
            failed.append((row["request line"], row["headers"], status, got, body))
    assert not failed, "\n".join(map(str, failed))


@then('each of these heads through "{name}" is answered 400 with its reason, and runs nowhere')
def answered_400(context, name):
    routed, failed = fleet_of(context), []
    for row in context.table:
        status, body, _ = send_head(routed, name, row["request line"], row["headers"])
        reason = json.loads(body)["reason"] if body else ""
        if (status, reason) != (400, row["reason"]):
            failed.append((row["request line"], row["headers"], status, body))
    ran = [run["target"] for server in ("desk-1", "vault-1") for run in routed.runs(server)]
    assert not failed and not ran, "\n".join(map(str, [*failed, ran]))


@when('a head "{line}" is refused by "{name}"')
def head_refused(context, line, name):
    found = send_head(fleet_of(context), name, f"{line} HTTP/1.1", "Host: site.example")
    assert found[0] == 400, found
    context.refused = [found[2]]


@when('a long path is refused by "{name}"')
def long_path_refused(context, name):
    line = f"GET /{'x' * 3000}?secret HTTP/1.1"
    found = send_head(fleet_of(context), name, line, f"Host: {'h' * 2000}")
    assert found[0] == 404, found
    context.refused.append(found[2])


@then('the lines of both name host and path in {most:d} characters, without secrets, and document {version:d} from "{origin}"')  # noqa: E501  # fmt: skip
def lines_name_them(context, most, version, origin):
    def found():
        lines = fleet_of(context).lines("a", "request ended")
        return [line for line in lines if line["request"] in context.refused]

    lines = wait_until("both lines are there", lambda: len(found()) == 2 and found(), SOON)
    assert [line["path"] for line in lines] == ["http://site.example/x", f"/{'x' * (most - 1)}"]
    assert [line["host"] for line in lines] == ["site.example", "h" * most]
    for line in lines:
        assert "secret" not in json.dumps(line), line
        assert (line["document"], line["document_from"]) == (version, origin), line
        assert line["document_age"] >= 0, line


@when('heads that cannot be read are sent to "{name}"')
def send_unreadable(context, name):
    routed = fleet_of(context)
    context.causes = [row["why"] for row in context.table]
    context.answers = [
        send_head(routed, name, row["request line"], row["headers"])[0] for row in context.table
    ]


@then('each is answered 400 and has a line "head not readable" with its cause alone')
def unreadable_have_lines(context):
    def causes():
        return [line["why"] for line in fleet_of(context).lines("a", "head not readable")]

    assert set(context.answers) == {400}, context.answers
    wait_until("the lines are there", lambda: causes() == context.causes, SOON)


@then('a request of {size:d} bytes to "{name}" is answered 413 and has a line "request not read"')
def unread_has_line(context, size, name):
    fields = f"Host: site.example; Content-Length: {size}"
    assert send_head(fleet_of(context), name, "POST /open/x?q HTTP/1.1", fields)[0] == 413
    lines = wait_until("its line", lambda: fleet_of(context).lines(name, "request not read"), SOON)
    found = [(line["reason"], line["host"], line["path"]) for line in lines]
    assert found == [("body_too_large", "site.example", "/open/x")], lines


@then('a caller of "{name}" that expects "{value}" gets 100 and then 200')
def gets_100(context, name, value):
    host, _, port = fleet_of(context).address(name).rpartition(":")
    head = (
        f"POST /open/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: expecting\r\n"
        f"Expect: {value}\r\nContent-Length: 2\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), LIMIT) as link:
        link.sendall(head.encode())
        assert link.recv(1000).startswith(b"HTTP/1.1 100"), "no interim answer"
        link.sendall(b"ab")
        response = HTTPResponse(link)
        response.begin()
        assert response.status == 200, response.status
