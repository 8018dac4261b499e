"""The fleet view: the options, teams and targets that processes share."""
