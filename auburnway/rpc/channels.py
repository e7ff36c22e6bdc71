"""gRPC channels between the processes of the tier.

An open connection can stall for ever while new connections to the same address
work. Keepalive pings close such a connection in about two seconds. A client
whose deadline passed does not wait for that: it closes the channel and opens a
new one.
"""

import grpc

TOKEN_KEY = "x-fleet-token"
# Large, because a snapshot of the replicated state is sent as one message.
MAX_MESSAGE_BYTES = 64 << 20

CLIENT_OPTIONS = (
    # Without this, a new channel to the same address would share the stalled
    # connection of the old channel.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_time_ms", 1000),
    ("grpc.keepalive_timeout_ms", 1000),
    ("grpc.http2.max_pings_without_data", 0),
    # With the default backoff of up to 120 s, a restarted peer would stay
    # unreachable for that long.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
)

SERVER_OPTIONS = (
    # Otherwise two processes could listen on the same port, and each of them
    # would receive a part of the calls.
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.keepalive_time_ms", 2000),
    ("grpc.keepalive_timeout_ms", 1000),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
)


def connect(address: str) -> grpc.Channel:
    """Opens a channel that shares its connection with no other channel."""
    return grpc.insecure_channel(address, options=CLIENT_OPTIONS)


def metadata(token: str) -> tuple[tuple[str, str], ...]:
    """Returns the gRPC metadata that authenticates a call."""
    return ((TOKEN_KEY, token),)
