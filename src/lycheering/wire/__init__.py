"""The inner protocol between the processes of a fleet."""
