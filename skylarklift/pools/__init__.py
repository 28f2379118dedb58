"""Admission of chats to replicas within the load bound, by one router at a time for each pool."""
