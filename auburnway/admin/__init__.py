"""The operator's command-line program `auburnway-operator`."""
