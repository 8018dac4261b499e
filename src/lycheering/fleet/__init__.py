"""The fleet view that every process holds: options, teams and targets."""
