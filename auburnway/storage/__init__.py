"""Durable files: disk interface, checksummed frames, log and snapshots."""
