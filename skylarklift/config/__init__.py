"""The numbered configuration: its form, patches to it, and the newest one."""
