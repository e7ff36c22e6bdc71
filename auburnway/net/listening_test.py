"""Tests of listening sockets."""

import socket

import pytest

from auburnway.net import listening


def free_address():
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_early_socket_takes_connections_before_the_program_runs(tmp_path):
    # Guards against clients that are refused while an entry starts.
    address = free_address()
    path = tmp_path / "entry.toml"
    path.write_text(f'name = "e"\nclient_address = "{address}"\n')
    host, _, port = address.rpartition(":")
    with (
        listening.listen_early(str(path), "client_address") as listener,
        socket.create_connection((host, int(port)), 1.0) as client,
    ):
        client.sendall(b"GET / HTTP/1.1\r\n\r\n")
        accepted, _ = listener.accept()
        with accepted:
            accepted.settimeout(1.0)
            assert accepted.recv(100).startswith(b"GET / ")


@pytest.mark.parametrize(
    "text",
    [
        "",
        "client_address = 5",
        'client_address = "nowhere"',
        'client_address = "127.0.0.1:x"',
        'client_address = "192.0.2.1:80"',
        "client_address = ",
    ],
)
def test_unusable_settings_give_no_early_socket(tmp_path, text):
    # Guards against a start that fails before it can report the settings.
    path = tmp_path / "entry.toml"
    path.write_text(text)
    assert listening.listen_early(str(path), "client_address") is None
    missing = str(tmp_path / "none.toml")
    assert listening.listen_early(missing, "client_address") is None


def test_address_in_use_is_an_error():
    address = free_address()
    with listening.listen(address), pytest.raises(OSError):
        listening.listen(address)
