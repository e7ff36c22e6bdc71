"""Starts one site's shape on one machine and shows it working."""
