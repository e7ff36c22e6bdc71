"""The entry process: callers on one side, shards on the other."""
