"""The inner protocol between lycheering's own processes."""
