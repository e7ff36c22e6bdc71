"""Network clients and servers: HTTP, message streams and peer datagrams."""
