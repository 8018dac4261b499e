"""The truth about what one engine has cached."""
