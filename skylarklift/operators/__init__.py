"""What operators read and order."""
