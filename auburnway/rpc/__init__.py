"""gRPC definitions and the client for the control service."""
