"""gRPC channels between own processes.

A connection can go silent for good while new connections work. Keepalive
pings close such a connection in about two seconds; a caller whose deadline
passed closes the channel at once and opens another.
"""

import grpc

TOKEN_KEY = "x-fleet-token"
# A snapshot of the replicated state is sent as one message.
MAX_MESSAGE_BYTES = 64 << 20

CLIENT_OPTIONS = (
    # Without this, a new channel to the same address would share the silent
    # connection of the old one.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_time_ms", 1000),
    ("grpc.keepalive_timeout_ms", 1000),
    ("grpc.http2.max_pings_without_data", 0),
    # The default backoff of up to 120 s would hide a restarted peer.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
)

SERVER_OPTIONS = (
    # Two processes on one port would each get a part of the calls.
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.keepalive_time_ms", 2000),
    ("grpc.keepalive_timeout_ms", 1000),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
)


def connect(address: str) -> grpc.Channel:
    """Returns a channel that has its own connection."""
    return grpc.insecure_channel(address, options=CLIENT_OPTIONS)


def metadata(token: str) -> tuple[tuple[str, str], ...]:
    """Returns the metadata that each call carries."""
    return ((TOKEN_KEY, token),)
