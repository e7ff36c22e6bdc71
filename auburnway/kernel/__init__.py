"""Event loop, timers, settings, logs, metrics and plug-in registry."""
