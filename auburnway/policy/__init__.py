"""Decision modules, registered by name with the kernel."""
