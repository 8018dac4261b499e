"""The application object that owns a process's parts."""
