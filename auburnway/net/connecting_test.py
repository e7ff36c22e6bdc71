"""Tests of connections to addresses that are none."""

import errno
import socket

import pytest

from auburnway.net import connecting


@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1:99999",
        "127.0.0.1:" + "9" * 5000,
        "127.0.0.1:\u00b2",
        "127.0.0.1:",
        "127.0.0.\x001:80",
        "127.0.0.1\r\n:80",
        "",
        "x" * 300 + ":80",
    ],
)
def test_unusable_address_is_an_error_number(address):
    # Guards against an exception that leaves a request without an answer.
    with socket.socket() as sock:
        sock.setblocking(False)
        error = connecting.start(sock, address)
    assert error not in (0, errno.EINPROGRESS)
