"""Steps about addresses."""

from behave import then

from papayacourse.types import Address

ODD = [
    "", ":", "x", "x:", ":80", "\0:80", "a b:80", "é:80", "é..:80", "\ud800:80", "x" * 300 + ":80",
    "a\n:80", "a:x", "a:-1", "a:65536", "a:" + "9" * 5000, "a/b:80", "a\r\nX: y:80",
]  # fmt: skip
SOUND = {
    "127.0.0.1:80": ("127.0.0.1", 80), "localhost:0": ("localhost", 0), "[::1]:9": ("[::1]", 9),
    "desk-1.ab_c.example:65535": ("desk-1.ab_c.example", 65535), " 10.0.0.1:1 ": ("10.0.0.1", 1),
}  # fmt: skip


@then("odd addresses are refused with ValueError")
def odd_are_refused(context):
    for text in ODD:
        try:
            found = Address.parse(text)
        except ValueError:
            continue
        raise AssertionError(f"{text!r} is read as {found}")


@then("sound addresses are read")
def sound_are_read(context):
    for text, (host, port) in SOUND.items():
        assert Address.parse(text) == Address(host, port), text
