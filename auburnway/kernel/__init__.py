"""Plug-in registry, timers, settings, logs and metrics."""
