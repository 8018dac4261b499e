"""Client of the operators' HTTP interface."""
