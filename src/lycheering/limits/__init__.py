"""Admission control: queueing, fair sharing and slot limits of targets."""
