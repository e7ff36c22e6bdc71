"""Durable files: disk interface, write-ahead log, snapshots."""
