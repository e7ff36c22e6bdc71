"""The open-loop load tool."""
