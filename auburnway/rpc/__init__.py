"""gRPC definitions, errors and client of the control service."""

import os

# Without this variable, grpcio reports each closed connection on standard
# error, between the JSON log lines. grpcio reads it when first imported.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
