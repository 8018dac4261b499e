"""Settings of one process, read from an INI file."""
