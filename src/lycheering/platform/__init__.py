"""The adapter between lycheering and the platform that it is deployed on."""
