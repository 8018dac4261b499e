"""Small servers that speak the published protocols of outside systems."""
