"""Small stand-ins for the outside systems that lycheering meets."""
