"""Recognize what crashes upstreams, and hold it back."""
