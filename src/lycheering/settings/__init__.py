"""The settings of a process, read from an INI file."""
