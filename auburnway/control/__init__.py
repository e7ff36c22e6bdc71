"""The control process: the replicated log and its service."""
