"""Sockets towards backend servers and between entries."""
