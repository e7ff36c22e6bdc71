"""gRPC definitions and the client for the control service."""

import os

# grpcio writes each closed connection to standard error, beside the JSON
# lines; it reads this variable when it is first imported.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
