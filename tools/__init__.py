"""Developer tools run from the Makefile."""
