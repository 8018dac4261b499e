"""Translates between lycheering and the platform that it is deployed on."""
